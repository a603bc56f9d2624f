"""The command that generates load on a running deployment and measures it."""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated

import httpx
import trio
import typer
from hdrh.histogram import HdrHistogram

from rattangate.cmd.output import print_json, print_table
from rattangate.exit_codes import ExitCode

CALLER_KEY_VARIABLE = "RATTANGATE_KEY"
CALL_TIMEOUT_S = 120.0
MICROS_PER_S = 1_000_000
MAX_LATENCY_MICROS = 3600 * MICROS_PER_S
SEGMENT_CHARS = 16_000
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(slots=True)
class LoadResults:
    """Count the outcomes of the requests; `first_token` holds latencies in microseconds."""

    sent: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_MICROS, 2)
    )

    def figures(self) -> dict[str, float]:
        """Return the counts and the latency percentiles in seconds, by name."""
        figures: dict[str, float] = {
            "sent": self.sent,
            "whole": self.whole,
            "refused": self.refused,
            "broken": self.broken,
        }
        for percentile in PERCENTILES:
            micros = self.first_token.get_value_at_percentile(percentile)
            figures[f"first_token_p{percentile:.0f}_s"] = micros / MICROS_PER_S
        return figures


def bench(
    url: Annotated[str, typer.Option(help="Address of an entry instance, as http://IP:port.")],
    model: Annotated[str, typer.Option(help="Model to ask.")],
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 10.0,
    seconds: Annotated[float, typer.Option(help="How long to send.")] = 10.0,
    bulletins: Annotated[int, typer.Option(help="Distinct long prefixes.")] = 8,
    max_tokens: Annotated[int, typer.Option(help="Tokens of each answer.")] = 16,
    seed: Annotated[int, typer.Option(help="Seed of the choice of prompts.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON for scripts.")] = False,
) -> None:
    """Send streamed requests with long shared prompts and report times to the first token.

    The caller's key comes from the variable RATTANGATE_KEY.

    Exit codes: 0 every answer was whole or refused, 1 a stream broke.
    """
    body = {"model": model, "max_tokens": max_tokens, "stream": True}
    results = LoadResults()
    trio.run(partial(_send_load, results, url, body, rate, seconds, bulletins, random.Random(seed)))
    if as_json:
        print_json(results.figures())
    else:
        print_table(
            ("figure", "value"), ((name, f"{value:g}") for name, value in results.figures().items())
        )
    if results.broken:
        raise typer.Exit(ExitCode.FAILED)


async def _send_load(
    results: LoadResults,
    url: str,
    body: dict[str, object],
    rate: float,
    seconds: float,
    bulletins: int,
    rng: random.Random,
) -> None:
    headers = {"Authorization": f"Bearer {os.environ.get(CALLER_KEY_VARIABLE, '')}"}
    async with httpx.AsyncClient(
        base_url=url, headers=headers, timeout=CALL_TIMEOUT_S, trust_env=False
    ) as client:
        async with trio.open_nursery() as nursery:
            deadline = trio.current_time() + seconds
            while trio.current_time() < deadline:
                prompt = _make_prompt(rng.randrange(bulletins), results.sent)
                nursery.start_soon(_send_one, results, client, {**body, "prompt": prompt})
                results.sent += 1
                await trio.sleep(rng.expovariate(rate))


async def _send_one(
    results: LoadResults, client: httpx.AsyncClient, body: dict[str, object]
) -> None:
    started = trio.current_time()
    tail = b""
    try:
        async with client.stream("POST", "/v1/completions", json=body) as resp:
            if resp.status_code != httpx.codes.OK:
                results.refused += 1
                return
            async for chunk in resp.aiter_raw():
                if not tail:
                    micros = int((trio.current_time() - started) * MICROS_PER_S)
                    results.first_token.record_value(max(1, micros))
                tail = (tail + chunk)[-64:]
    except httpx.HTTPError:
        results.broken += 1
        return
    if tail.endswith(b"data: [DONE]\n\n"):
        results.whole += 1
    else:
        results.broken += 1


def _make_prompt(prefix_number: int, question_number: int) -> str:
    segments = ("system preamble ", f"bulletin {prefix_number} ")
    filled = "".join((segment * SEGMENT_CHARS)[:SEGMENT_CHARS] for segment in segments)
    return f"{filled}question {question_number}?"

"""Run both deployments end to end and check that every response arrives complete."""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

import httpx
import msgspec
import trio

from bench.processes import ROOT, Deployment, EngineProcessCfg
from rattangate.standins.text import expected_text

REQUESTS = 60
BOOKINGS = 20
CONCURRENCY = 8
PIECE_BYTES = 16_000
MAX_TOKENS = 12
PREFILL_RATES = (60_000.0, 40_000.0, 80_000.0, 25_000.0, 50_000.0, 30_000.0)
SEED = 7


@dataclass
class Counts:
    """Count the requests sent, their complete responses and their prompt tokens."""

    sent: int = 0
    complete: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(frozen=True)
class Site:
    """Describe one deployment of the demo."""

    name: str
    booking_path: str
    instances: int


SITES = (Site("magnolia-bend", "/passes", 3), Site("sadaf", "/bookings", 4))


def main() -> int:
    """Run both deployments; return 1 if a response is missing or incomplete."""
    total = Counts()
    for site in SITES:
        counts = run_site(site)
        print(f"{site.name}: {counts.sent} sent, {counts.complete} whole", flush=True)
        total.sent += counts.sent
        total.complete += counts.complete
        total.prompt_tokens += counts.prompt_tokens
        total.cached_tokens += counts.cached_tokens
    lost = total.sent - total.complete
    hit_rate = total.cached_tokens / max(1, total.prompt_tokens)
    print(f"demo: {total.sent} sent, {total.complete} whole, {lost} lost, hit rate {hit_rate:.2f}")
    return 1 if lost else 0


def run_site(site: Site) -> Counts:
    """Run one deployment and send it requests and bookings."""
    with open_site(site) as deployment:
        return trio.run(_send_all, site, deployment)


def open_site(site: Site) -> Deployment:
    """Prepare the processes of one deployment."""
    folder = ROOT / "deploy" / site.name
    overlays = {path.stem: path for path in folder.glob("*.yaml") if path.stem != "base"}
    engine_cfgs = {
        f"engine-{number}": EngineProcessCfg(prefill_rate=rate)
        for number, rate in enumerate(PREFILL_RATES, start=1)
    }
    return Deployment(folder / "base.yaml", overlays, site.instances, engine_cfgs)


async def _send_all(site: Site, deployment: Deployment) -> Counts:
    counts = Counts()
    rng = random.Random(SEED)
    limiter = trio.CapacityLimiter(CONCURRENCY)
    urls = deployment.caller_urls()
    workspaces = [workspace.name for workspace in deployment.settings.workspaces]
    model = deployment.settings.models[0]
    prompts = _Prompts(workspaces)
    async with httpx.AsyncClient(timeout=60.0, trust_env=False) as client:
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                workspace = rng.choice(workspaces[:3])
                prompt = prompts.make(workspace, rng.randrange(3), number)
                call = _Call(client, urls[number % len(urls)], workspace, counts, limiter)
                nursery.start_soon(call.stream, model.name, model.weights_version, prompt)
            for number in range(BOOKINGS):
                call = _Call(client, urls[number % len(urls)], workspaces[0], counts, limiter)
                nursery.start_soon(call.book, site.booking_path, number)
    return counts


class _Prompts:
    """Build prompts that share prefixes on three levels: system, tenant and bulletin."""

    def __init__(self, workspaces: list[str]) -> None:
        self._tenants = {name: f"Preamble of {name}. " for name in workspaces}

    def make(self, workspace: str, bulletin: int, number: int) -> str:
        parts = (
            _repeat_to_piece_size("System preamble. "),
            _repeat_to_piece_size(self._tenants[workspace]),
            _repeat_to_piece_size(f"Bulletin {bulletin} of {workspace}. ") * 2,
            f"Question {number}?",
        )
        return "".join(parts)


@dataclass
class _Call:
    client: httpx.AsyncClient
    url: str
    workspace: str
    counts: Counts
    limiter: trio.CapacityLimiter

    async def stream(self, model: str, version: str, prompt: str) -> None:
        body = {"model": model, "prompt": prompt, "max_tokens": MAX_TOKENS, "stream": True}
        self.counts.sent += 1
        async with self.limiter:
            text, usage = await self._read_stream(body)
        expected = expected_text(model, version, prompt.encode(), MAX_TOKENS)
        if text != expected:
            print(f"stream differs: got {text!r}, expected {expected!r}", file=sys.stderr)
            return
        self.counts.complete += 1
        self.counts.prompt_tokens += usage["prompt_tokens"]
        self.counts.cached_tokens += usage["prompt_tokens_details"]["cached_tokens"]

    async def book(self, path: str, number: int) -> None:
        self.counts.sent += 1
        headers = {**self._headers(), "Idempotency-Key": f"booking-{number}"}
        async with self.limiter:
            resp = await self.client.post(self.url + path, json={"number": number}, headers=headers)
        if resp.status_code == 200:
            self.counts.complete += 1
        else:
            print(
                f"booking {number}: status {resp.status_code}, not 200: {resp.text}",
                file=sys.stderr,
            )

    async def _read_stream(self, body: dict[str, object]) -> tuple[str, dict[str, int]]:
        text = ""
        usage: dict[str, int] = {}
        url = f"{self.url}/v1/completions"
        async with self.client.stream("POST", url, json=body, headers=self._headers()) as resp:
            async for line in resp.aiter_lines():
                if not line.startswith("data: ") or line == "data: [DONE]":
                    continue
                chunk = msgspec.json.decode(line[len("data: ") :])
                if "error" in chunk:
                    return f"{text} {chunk}", usage
                text += chunk["choices"][0]["text"]
                usage = chunk.get("usage", usage)
        return text, usage

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer demo-{self.workspace}"}


def _repeat_to_piece_size(sentence: str) -> str:
    return (sentence * (PIECE_BYTES // len(sentence) + 1))[:PIECE_BYTES]


if __name__ == "__main__":
    sys.exit(main())

"""A small deployment of real processes on free loopback ports, for tests and benchmarks."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass, field
from functools import cache
from itertools import cycle, islice
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from bench.processes import DEMO_PEER_SECRET, Deployment, EngineProcessCfg
from rattangate.auth import hash_key
from rattangate.standins.text import expected_text

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    import httpx

MODEL = "guide"
VERSION = "v1"
PIECE_TOKENS = 100
PIECE_BYTES = 400
WORKSPACES = ("alpha", "beta")
# Below the ephemeral port range of the kernel, and apart from the ports of the examples.
FIRST_PORT = 23_000
LAST_PORT = 32_000
# Each process that runs tests claims a block of the range, so that two of them never share a port.
PORT_BLOCK_SIZE = 900
_PORT_RNG = random.SystemRandom()


@dataclass(frozen=True)
class DeploymentCfg:
    """Describe the size and settings of a small deployment.

    `engine` is the speed and size of every engine. `settings` replaces top-level settings, and
    `overlays` holds the overlay of each data centre that has one.
    """

    engines: int = 3
    instances: int = 2
    services: int = 1
    data_centres: int = 1
    engine: EngineProcessCfg = EngineProcessCfg(
        prefill_rate=20_000.0, decode_rate=100.0, piece_tokens=PIECE_TOKENS
    )
    cache_pieces: int = 64
    checks_orders: bool = True
    settings: dict[str, Any] = field(default_factory=dict)
    overlays: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass(frozen=True)
class _ClaimedPorts:
    """Hold a block of ports, which no other process draws from while `claim` is open."""

    claim: socket.socket
    sequence: Iterator[int]


@cache
def _claim_ports() -> _ClaimedPorts:
    """Claim a block of ports by holding its first one; raise RuntimeError if none is left.

    Its ports come up in turn: one that was just handed out is not yet in use.
    """
    for start in range(FIRST_PORT, LAST_PORT, PORT_BLOCK_SIZE):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", start))
        except OSError:
            claim.close()
            continue
        ports = range(start + 1, start + PORT_BLOCK_SIZE)
        return _ClaimedPorts(claim, cycle(_PORT_RNG.sample(ports, len(ports))))
    raise RuntimeError(f"all blocks of ports from {FIRST_PORT} to {LAST_PORT - 1} are in use")


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are free now and outside the ephemeral range."""
    addresses: list[str] = []
    for port in islice(_claim_ports().sequence, PORT_BLOCK_SIZE):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        addresses.append(f"127.0.0.1:{port}")
        if len(addresses) == count:
            return addresses
    raise RuntimeError(
        f"found {len(addresses)} free ports in a block of {PORT_BLOCK_SIZE}, expected {count}"
    )


def small_deployment(folder: Path, shape: DeploymentCfg = DeploymentCfg()) -> Deployment:
    """Write the settings files of a small deployment and return it without starting it."""
    base = folder / "base.yaml"
    base.write_text(yaml.safe_dump(small_settings(shape), sort_keys=False))
    engine_cfgs = {f"engine-{number}": shape.engine for number in range(1, shape.engines + 1)}
    overlays = {}
    for data_centre, overlay in shape.overlays.items():
        overlays[data_centre] = folder / f"{data_centre}.yaml"
        overlays[data_centre].write_text(yaml.safe_dump(overlay))
    return Deployment(base, overlays, shape.instances, engine_cfgs, log_dir=folder)


def small_settings(shape: DeploymentCfg) -> dict[str, Any]:
    """Return the settings of a small deployment in the form of the YAML file."""
    data_centres = [f"dc-{number}" for number in range(1, shape.data_centres + 1)]
    addresses = iter(free_addresses(1 + 3 * shape.instances + shape.engines + shape.services))
    settings: dict[str, Any] = {
        "deployment": "small",
        "platform": {"address": next(addresses)},
        "data_centres": [{"name": name} for name in data_centres],
        "instances": [
            {
                "name": f"entry-{number}",
                "data_centre": data_centres[(number - 1) % len(data_centres)],
                "caller_address": next(addresses),
                "admin_address": next(addresses),
                "peer_address": next(addresses),
            }
            for number in range(1, shape.instances + 1)
        ],
        "models": [{"name": MODEL, "weights_version": VERSION}],
        "endpoints": [
            *(
                {
                    "name": f"engine-{number}",
                    "kind": "engine",
                    "address": next(addresses),
                    "data_centre": data_centres[(number - 1) % len(data_centres)],
                    "serves": MODEL,
                    "checks_orders": shape.checks_orders,
                    "cache_pieces": shape.cache_pieces,
                }
                for number in range(1, shape.engines + 1)
            ),
            *(
                {
                    "name": f"service-{number}",
                    "kind": "service",
                    "address": next(addresses),
                    "data_centre": data_centres[(number - 1) % len(data_centres)],
                    "serves": "bookings",
                    "checks_orders": False,
                }
                for number in range(1, shape.services + 1)
            ),
        ],
        "routes": [{"path_prefix": "/bookings", "service": "bookings", "repeatable": False}],
        "workspaces": [
            {"name": name, "key_hashes": [hash_key(f"demo-{name}")]} for name in WORKSPACES
        ],
        "admin_keys": [{"name": "admin", "key_hash": hash_key("demo-admin"), "role": "operator"}],
        "placement": {"piece_tokens": PIECE_TOKENS},
        "peers": {"secret_hash": hash_key(DEMO_PEER_SECRET)},
        "shutdown": {"balancer_notice": "300ms"},
    }
    if not shape.services:
        del settings["routes"]
    return {**settings, **shape.settings}


def make_prompt(*sections: str, pieces: int = 1) -> str:
    """Build a prompt of sections and a short question.

    Each section repeats its text up to `pieces` whole cache pieces, so that prompts with the same
    leading sections share a cached prefix.
    """
    prefixes = [(section * PIECE_BYTES)[: PIECE_BYTES * pieces] for section in sections]
    return "".join(prefixes) + "Where to?"


@dataclass
class CompletionResult:
    """Hold the answer to a streamed completion; `offsets` are those of its tokens."""

    status: int
    text: str = ""
    offsets: list[int] = field(default_factory=list)
    cached_tokens: int = 0
    done: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)

    def is_complete(self, prompt: str, tokens: int, version: str = VERSION) -> bool:
        """Return whether the stream is complete, in order and what the engine generates."""
        expected = expected_text(MODEL, version, prompt.encode(), tokens)
        in_order = self.offsets == list(range(tokens))
        return self.done and in_order and self.text == expected


async def complete(
    client: httpx.AsyncClient,
    url: str,
    prompt: str,
    tokens: int = 8,
    workspace: str = WORKSPACES[0],
    **fields: Any,
) -> CompletionResult:
    """Send a streamed completion request and collect the answer."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True, **fields}
    headers = {"Authorization": f"Bearer demo-{workspace}"}
    async with client.stream("POST", f"{url}/v1/completions", json=body, headers=headers) as resp:
        received = CompletionResult(resp.status_code, headers=dict(resp.headers))
        if resp.status_code != 200:
            received.error = msgspec.json.decode(await resp.aread())["error"]
            return received
        async for line in resp.aiter_lines():
            _parse_line(received, line)
    return received


def _parse_line(received: CompletionResult, line: str) -> None:
    if not line.startswith("data: "):
        return
    if line == "data: [DONE]":
        received.done = True
        return
    chunk = msgspec.json.decode(line[len("data: ") :])
    if "error" in chunk:
        received.error = chunk["error"]
        return
    received.text += chunk["choices"][0]["text"]
    received.offsets.append(chunk["offset"])
    if "usage" in chunk:
        received.cached_tokens = chunk["usage"]["prompt_tokens_details"]["cached_tokens"]

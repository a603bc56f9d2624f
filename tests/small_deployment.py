"""A small deployment of real processes on free ports, for the tests of promises and faults."""

from __future__ import annotations

import random
import socket
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec
import yaml

from bench.processes import DEMO_PEER_SECRET, Deployment, EngineShape
from rattangate.auth import hash_key
from rattangate.standins.text import expected_text

if TYPE_CHECKING:
    from pathlib import Path

    import httpx

MODEL = "guide"
VERSION = "v1"
PIECE_TOKENS = 100
PIECE_BYTES = 400
WORKSPACES = ("alpha", "beta")
# Below the range from which the system gives ports to clients, and apart from the examples.
FIRST_PORT = 23_000
LAST_PORT = 32_000
_PORTS = random.SystemRandom()


@dataclass(frozen=True)
class Shape:
    """Describe a small deployment."""

    engines: int = 3
    instances: int = 2
    services: int = 1
    data_centres: int = 1
    engine: EngineShape = EngineShape(
        prefill_rate=20_000.0, decode_rate=100.0, piece_tokens=PIECE_TOKENS
    )
    cache_pieces: int = 64
    checks_orders: bool = True
    settings: dict[str, Any] = field(default_factory=dict)
    overlays: dict[str, dict[str, Any]] = field(default_factory=dict)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free now and that no client is given."""
    found: list[str] = []
    for port in _PORTS.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(f"127.0.0.1:{port}")
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


def small_deployment(folder: Path, shape: Shape = Shape()) -> Deployment:
    """Write the settings of a small deployment and return its processes, not yet started."""
    base = folder / "base.yaml"
    base.write_text(yaml.safe_dump(small_settings(shape), sort_keys=False))
    shapes = {f"engine-{number}": shape.engine for number in range(1, shape.engines + 1)}
    overlays = {}
    for data_centre, overlay in shape.overlays.items():
        overlays[data_centre] = folder / f"{data_centre}.yaml"
        overlays[data_centre].write_text(yaml.safe_dump(overlay))
    return Deployment(base, overlays, shape.instances, shapes, log_dir=folder)


def small_settings(shape: Shape) -> dict[str, Any]:
    """Return the settings of a small deployment as they stand in YAML."""
    centres = [f"dc-{number}" for number in range(1, shape.data_centres + 1)]
    addresses = iter(free_addresses(1 + 3 * shape.instances + shape.engines + shape.services))
    settings: dict[str, Any] = {
        "deployment": "small",
        "platform": {"address": next(addresses)},
        "data_centres": [{"name": name} for name in centres],
        "instances": [
            {
                "name": f"entry-{number}",
                "data_centre": centres[(number - 1) % len(centres)],
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
                    "data_centre": centres[(number - 1) % len(centres)],
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
                    "data_centre": centres[(number - 1) % len(centres)],
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


def make_prompt(*levels: str, pieces: int = 1) -> str:
    """Build a prompt of nested levels, each of a number of whole pieces, and a short question."""
    filled = [(level * PIECE_BYTES)[: PIECE_BYTES * pieces] for level in levels]
    return "".join(filled) + "Where to?"


@dataclass
class Received:
    """Hold what a caller received."""

    status: int
    text: str = ""
    offsets: list[int] = field(default_factory=list)
    cached_tokens: int = 0
    done: bool = False
    error: dict[str, Any] = field(default_factory=dict)
    headers: dict[str, str] = field(default_factory=dict)

    def is_whole(self, prompt: str, tokens: int, version: str = VERSION) -> bool:
        """Tell whether the text is exactly what the engine generates for the prompt."""
        wanted = expected_text(MODEL, version, prompt.encode(), tokens)
        in_order = self.offsets == list(range(tokens))
        return self.done and in_order and self.text == wanted


async def complete(
    client: httpx.AsyncClient,
    url: str,
    prompt: str,
    tokens: int = 8,
    workspace: str = WORKSPACES[0],
    **fields: Any,
) -> Received:
    """Send a streamed completion and collect the answer."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True, **fields}
    headers = {"Authorization": f"Bearer demo-{workspace}"}
    async with client.stream("POST", f"{url}/v1/completions", json=body, headers=headers) as resp:
        received = Received(resp.status_code, headers=dict(resp.headers))
        if resp.status_code != 200:
            received.error = msgspec.json.decode(await resp.aread())["error"]
            return received
        async for line in resp.aiter_lines():
            _take_line(received, line)
    return received


def _take_line(received: Received, line: str) -> None:
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

"""A small deployment in one process: a stand-in store, scripted replicas and an entry instance."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from rattangate.front.app import FrontApp
from rattangate.log_events import LineWriter
from rattangate.platform.boot import BootSettings, Bounds
from rattangate.standins.platform import Platform, run_platform
from tests.small_deployment import free_addresses

KEY = "key-of-sese"
HOST = "jepu9.example"
STREAM_PATH = "/ask/1"
RESUMABLE_PATH = "/resume/1"
IDEMPOTENT_PATH = "/lookup/1"
NON_IDEMPOTENT_PATH = "/book/1"
MODEL = "daka"
BORN = 1000

Handler = Callable[["Call"], Awaitable[None]]


@dataclass
class Call:
    """Hold one request that a replica received and the stream for its response."""

    stream: trio.SocketStream
    headers: dict[str, str]
    request_line: str
    body: bytes

    async def respond(self, status: int, body: bytes, **headers: str) -> None:
        """Send a complete response with a signature."""
        lines = {"X-Attempt-Id": self.headers["x-attempt-id"], "X-Server-Seal": "seal"}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        lines["Content-Length"] = str(len(body))
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        await self.stream.send_all(f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body)

    async def refuse(self, status: int = 503) -> None:
        """Send a refusal that states that the request did not run."""
        await self.respond(status, b"", X_Not_Executed="1")

    async def start_stream(self) -> None:
        """Send the head of a streamed response."""
        await self.stream.send_all(
            b"HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: "
            + self.headers["x-attempt-id"].encode()
            + b"\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n"
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a streamed response; an empty one ends it."""
        await self.stream.send_all(b"%x\r\n%b\r\n" % (len(data), data))


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: token{number}\n\n".encode()


async def stream_events(call: Call, last: int = 3) -> None:
    """Stream the events after the request's Last-Event-Id, to the end."""
    first = int(call.headers.get("last-event-id", "0")) + 1
    await call.start_stream()
    for number in range(first, last + 1):
        await call.send_chunk(event(number))
    await call.send_chunk(b"")


async def respond_done(call: Call) -> None:
    """Send a short response."""
    await call.respond(200, b"done")


@dataclass
class Replica:
    """Pass requests to a handler and record them; answer with a report to `GET /report`.

    `born` tells the incarnations of a replica apart; `reports` counts the reports.
    """

    name: str
    address: str
    handler: Handler
    calls: list[Call] = field(default_factory=list)
    born: int = BORN
    reports: int = 0
    report_handler: Handler | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self.address.rsplit(":", 1)
        await trio.serve_tcp(self._serve, int(port), host=host)

    async def _serve(self, stream: trio.SocketStream) -> None:
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = await stream.receive_some()
                    if not data:
                        return
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                line, *lines = head.decode().split("\r\n")
                pairs = (item.split(":", 1) for item in lines)
                headers = {name.lower(): value.strip() for name, value in pairs}
                size = int(headers.get("content-length", "0"))
                while len(buffer) < size:
                    buffer += await stream.receive_some()
                body, buffer = buffer[:size], buffer[size:]
                call = Call(stream, headers, line, body)
                if line.startswith("GET /report "):
                    self.reports += 1
                    await (self.report_handler or self._report)(call)
                    continue
                self.calls.append(call)
                await self.handler(call)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _report(self, call: Call) -> None:
        await respond_report(call, self.born)


async def respond_report(call: Call, born: int, headers: str = "") -> None:
    """Send the report of a replica that was started at `born`."""
    body = b'{"born":%d,"models":[{"name":"daka","version":1}],"busy":false,"seq":0}' % born
    head = f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    await call.stream.send_all(head.encode() + body)


@dataclass
class Deployment:
    """Hold the parts of a running deployment, to drive it in a test.

    `scope` holds the tasks of the instance if it can be killed.
    """

    platform: Platform
    app: FrontApp
    replicas: dict[str, Replica]
    client: httpx.AsyncClient
    boot: BootSettings
    scope: trio.CancelScope | None = None

    def kill(self) -> None:
        """End the instance without notice; its connections are closed."""
        assert self.scope is not None
        self.scope.cancel()

    async def request(self, path: str, key: str | None = KEY, **headers: str) -> httpx.Response:
        """Send one request as a caller."""
        sent = {"Host": HOST, "X-Attempt-Id": "a1", "X-Deadline-Ms": "3000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            sent["Authorization"] = f"Bearer {key}"
        if path in (STREAM_PATH, RESUMABLE_PATH):
            prompt = {"X-Model": MODEL, "X-Token-Counts": "900,20"}
            sent = {**prompt, "X-Prefix-Hash": "aa:600,bb:300"} | sent
        return await self.client.post(path, content=b"hello", headers=sent)

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration as the operator does."""
        self.platform.store.put("op", "config", {**make_config(version), **changes})

    async def set_timeouts(self, timeout_ms: int) -> None:
        """Give all routes another timeout and wait until it is in force."""
        version = self.app.state.config.version + 1
        routes = [{**route, "timeout_ms": timeout_ms} for route in make_config(version)["routes"]]
        self.configure(version, routes=routes)
        await wait_until(lambda: self.app.state.config.version == version)

    def write_replica_entry(self, name: str, service: str, **changes: Any) -> None:
        """Write a replica's entry to the store."""
        models = [{"name": MODEL, "version": 1}] if service == "llm" else []
        entry = {
            "service": service,
            "address": self.replicas[name].address,
            "zone": "riverside",
            "slots": 4,
            "state": "ready",
            "born": BORN,
            "models": models,
        }
        self.platform.store.put("servers", name, {**entry, **changes})

    def calls(self) -> list[Call]:
        """Return the requests that all replicas got."""
        return [call for replica in self.replicas.values() for call in replica.calls]


def make_config(version: int) -> dict[str, Any]:
    """Make the operator's configuration."""
    common = {"host": HOST, "timeout_ms": 2000, "target_latency_ms": 500, "priority": 1}
    return {
        "version": version,
        "routes": [
            {**common, "name": "s", "path_prefix": "/ask/", "kind": "stream", "service": "llm"},
            {
                **common,
                "name": "r",
                "path_prefix": "/resume/",
                "kind": "stream",
                "service": "llm",
                "can_resume": True,
                "max_attempts": 2,
            },
            {
                **common,
                "name": "l",
                "path_prefix": "/lookup/",
                "kind": "idempotent",
                "service": "desk",
                "max_attempts": 2,
            },
            {
                **common,
                "name": "b",
                "path_prefix": "/book/",
                "kind": "non_idempotent",
                "service": "desk",
            },
        ],
        "services": [
            {
                "name": "llm",
                "engine": {"slots": 4, "kv_capacity": 9000, "models": [{"name": MODEL}]},
            },
            {"name": "desk"},
        ],
        "tenants": [{"name": "sese", "api_keys": [KEY]}],
    }


@asynccontextmanager
async def running_deployment(
    plain_handler: Handler = respond_done,
    engine_handler: Handler = stream_events,
    replicas_per_service: int = 2,
    log_writer: LineWriter | None = None,
    grace_s: float = 3.0,
):
    """Run a deployment; all replicas of a service have the same handler."""
    addresses = free_addresses(5 + 2 * replicas_per_service)
    store_address, caller, ready, peer, metrics = addresses[:5]
    boot = BootSettings(
        "entry-1",
        "riverside",
        caller.rsplit(":", 1)[0],
        caller,
        ready,
        int(peer.rsplit(":", 1)[1]),
        store_address,
        Bounds(grace_s=grace_s),
    )
    replica_addresses = iter(addresses[5:])
    replicas = {}
    for number in range(replicas_per_service):
        for service, handler in (("desk", plain_handler), ("llm", engine_handler)):
            name = f"{service}-{number}"
            replicas[name] = Replica(name, next(replica_addresses), handler)
    platform = Platform()
    metrics_port = int(metrics.rsplit(":", 1)[1])
    app = FrontApp(boot, log_writer or LineWriter(1, max_lines=0), metrics_port)
    with trio.fail_after(30):
        async with (
            trio.open_nursery() as nursery,
            httpx.AsyncClient(base_url=f"http://{caller}", trust_env=False, timeout=10.0) as client,
        ):
            nursery.start_soon(run_platform, store_address, platform)
            for replica in replicas.values():
                nursery.start_soon(replica.run)
            deployment = Deployment(platform, app, replicas, client, boot)
            deployment.configure(1)
            for name in replicas:
                deployment.write_replica_entry(name, name.split("-")[0])
            nursery.start_soon(app.run)
            await wait_until(lambda: hasattr(app, "state") and app.is_ready)
            yield deployment
            nursery.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool], limit_s: float = 10.0) -> None:
    """Wait until a condition holds."""
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.02)


async def receive_chunks(stream: trio.SocketStream) -> AsyncIterator[bytes]:
    """Yield the bytes that arrive on a connection until it closes."""
    while True:
        try:
            data = await stream.receive_some()
        except trio.BrokenResourceError:
            return
        if not data:
            return
        yield data

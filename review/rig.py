"""Stand-ins of the store, the replicas and the clients, and a runner of the project's own program.

Everything runs on loopback addresses. The stand-ins live in the process of the script; each entry
instance is a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, ClassVar, NoReturn
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
METRICS_PORT = 9464
HEARTBEAT_S = 1.2
# What a model replica reads of prompts, one prompt after another.
PREFILL_TOKENS_PER_S = 36_700
# How long new weights take a model replica.
LOAD_S = 1.1
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_ms": 250, "skew_max_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "recover_s": 12,
    "transit_ms": 120, "again_s": 10, "require_fence": False, "lease_ms": 3000, "thaw_ms": 300,
    "version_ms": 12000, "version_all_ms": 17000,
}  # fmt: skip
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """Report that the case could not be run, for example because an instance did not start."""


class Record:
    """Write what happened, with the seconds since the start of the script, to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


# HTTP


@dataclass
class Request:
    """Hold one request; header names are in lowercase."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a first line and headers; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ", 2)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a whole response with a length."""
    lines = {**headers, "Content-Length": str(len(body))}
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode() + body


def json_response(status: int, value: object, **headers: str) -> bytes:
    """Return a whole JSON response."""
    body = json.dumps(value).encode()
    fields = {name.replace("_", "-"): text for name, text in headers.items()}
    return response(status, {"Content-Type": "application/json", **fields}, body)


Serve = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class HttpServer:
    """Serve requests in sequence on each connection; a closed connection cancels its request."""

    def __init__(self, address: str, serve: Serve) -> None:
        self.address = address
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._run, host, int(port), limit=1 << 20)

    def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self._run_one(req, reader, writer):
                    return
        except (OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _run_one(
        self, req: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        task = asyncio.ensure_future(self._serve(req, writer))
        while not task.done():
            await asyncio.wait({task}, timeout=0.02)
            if reader.at_eof() or writer.is_closing():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                return False
        if isinstance(task.exception(), OSError):
            return False
        task.result()
        await writer.drain()
        return True


# The platform's store


class Store:
    """The platform's store: rows with versions, conditional writes and a feed of changes."""

    def __init__(self, address: str, record: Record) -> None:
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.highest_named: dict[str, int] = {}
        self._changes: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self._record = record
        self.http = HttpServer(address, self._serve)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a replica does."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, key, raw)])

    def named_version(self, model: str) -> int:
        """Return the newest version of a model that the operator has named."""
        return self.highest_named.get(model, 1)

    def name_version(self, model: str, version: int) -> None:
        """Name new weights as the operator does."""
        self.highest_named[model] = max(version, self.highest_named.get(model, 1))
        self.put("op", f"version/{model}", {"model": model, "version": version})

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self._changes.append((self.version, table, key, value))
        self._wake()

    async def _serve(self, req: Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.004)
        url = urlsplit(req.target)
        args = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            status, body = 200, self._get(args)
        elif url.path == "/rows-feed":
            status, body = await self._feed(args)
        elif url.path == "/rows-tx":
            status, body = self._transact(json.loads(req.body))
        else:
            status, body = 404, {}
        writer.write(json_response(status, body, Store_Era="0"))

    def _stamp(self) -> dict[str, int]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _row(self, version: int, table: str, key: str, value: bytes | None) -> dict[str, Any]:
        row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _get(self, args: dict[str, str]) -> dict[str, Any]:
        table, start, end = args["table"], args.get("from", ""), args.get("to", "")
        limit = int(args.get("limit", "500"))
        keys = sorted(key for name, key in self.rows if name == table)
        keys = [key for key in keys if key >= start and (not end or key < end)]
        rows = [self._row(self.rows[table, key][0], table, key, self.rows[table, key][1])
                for key in keys[:limit]]  # fmt: skip
        return {"rows": rows, "has_more": len(keys) > limit, **self._stamp()}

    async def _feed(self, args: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = args["table"], int(args["after"])
        deadline = time.monotonic() + min(30_000, int(args.get("wait_ms", "0"))) / 1000
        if after > self.version:
            return 410, {}
        while True:
            rows = [self._row(*one) for one in self._changes if one[0] > after and one[1] == table]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._stamp()}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for item in body.get("expected", ()):
            if self.rows.get((item["table"], item["key"]), (0, b""))[0] != item["ver"]:
                found = [
                    self._row(self.rows[one["table"], one["key"]][0], one["table"], one["key"],
                              self.rows[one["table"], one["key"]][1])
                    for one in body["expected"] if (one["table"], one["key"]) in self.rows
                ]  # fmt: skip
                return 412, {"rows": found, **self._stamp()}
        sets = [(one["table"], one["key"], base64.b64decode(one["value"]))
                for one in body.get("set_keys", ())]  # fmt: skip
        drops = [(one["table"], one["key"], None) for one in body.get("remove", ())]
        self._apply([*sets, *drops])
        return 200, self._stamp()


# Replicas


@dataclass
class Run:
    """Hold one request that a replica ran, or rejected if `refused` is set."""

    at: float
    attempt: str
    replica: str
    headers: dict[str, str]
    refused: int = 0
    ended: str = ""
    cached_from: str = ""


@dataclass
class Order:
    """Hold one order that arrived at a replica, and the status of its answer."""

    at: float
    replica: str
    body: dict[str, Any]
    status: int = 0

    @property
    def holder(self) -> str:
        """Return who sent the order."""
        return str(self.body.get("holder"))

    @property
    def fence(self) -> int:
        """Return the fencing token."""
        return int(self.body.get("fence", 0))


class Replica:
    """One replica: registers itself, runs requests and answers orders, as the pages say."""

    def __init__(self, name: str, service: str, address: str, store: Store, record: Record) -> None:
        self.name = name
        self.service = service
        self.runs: list[Run] = []
        self.work_s = 0.045
        self.events = 0
        self.event_s = 0.04
        self.model = ""
        self.version = 1
        # The attempts whose stream gets bytes without end.
        self.endless: set[str] = set()
        self.born = int(time.time() * 1000)
        self.orders: list[Order] = []
        self.accepted = 0
        self.is_loading = False
        self._loads: list[asyncio.Future[None]] = []
        self._seq = 0
        self._store = store
        self._record = record
        # By salt and chain of parts: the tenant whose request made the part.
        self._cache: dict[tuple[str, str], str] = {}
        self._prefill = asyncio.Lock()
        self.http = HttpServer(address, self._serve)

    def entry(self) -> dict[str, Any]:
        """Return the entry that the replica writes into the store."""
        self._seq += 1
        entry: dict[str, Any] = {
            "service": self.service, "address": self.http.address, "zone": "riverside",
            "version": "v1", "slots": 64 if self.model else 6, "state": "ready",
            "cold_left_ms": 0, "seq": self._seq, "born": self.born, "stage": "combined",
            "models": [],
        }  # fmt: skip
        if self.model:
            entry["models"] = [{"name": self.model, "version": self.version, "adapters": []}]
        return entry

    async def run(self) -> None:
        """Serve, and write the entry at each heartbeat."""
        await self.http.start()
        while True:
            self._store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, req: Request, writer: asyncio.StreamWriter) -> None:
        path = urlsplit(req.target).path
        if path == "/report":
            writer.write(json_response(200, self._report()))
        elif path == "/order":
            order = Order(self._record.now(), self.name, json.loads(req.body))
            self.orders.append(order)
            target = req.headers.get("x-target-instance", self.name)
            order.status = 421 if target != self.name else self._take_order(order.body)
            writer.write(json_response(order.status, {}))
            self._record.write(
                f"replica {self.name} answers {order.status} to an order of {order.holder} with"
                f" fence {order.fence} to load version {order.body.get('version')}"
            )
        elif path == "/healthz":
            writer.write(response(200, {"X-Instance-Id": self.name}, b""))
        else:
            await self._run_request(req, writer)

    def _take_order(self, body: dict[str, Any]) -> int:
        if body.get("op") != "version" or "holder" not in body or "fence" not in body:
            return 400
        if self._store.named_version(self.model) < body["version"]:
            return 400
        if body["version"] == self.version:
            return 200
        if self.is_loading or body.get("expected", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.is_loading = True
        self._loads.append(asyncio.ensure_future(self._load(body["version"])))
        return 202

    async def _load(self, version: int) -> None:
        """Let the running requests finish (mode `block`), then load."""
        while any(not run.refused and not run.ended for run in self.runs):
            await asyncio.sleep(0.02)
        await asyncio.sleep(LOAD_S)
        self.version = version
        self._cache.clear()
        self.is_loading = False
        self._record.write(f"replica {self.name} has loaded version {version}")
        self._store.put("servers", self.name, self.entry())

    def _report(self) -> dict[str, Any]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {"born": self.born, "stage": "combined", "models": models if self.model else [],
                "busy": self.is_loading, "seq": self.accepted, "queued": 0, "running": 0}  # fmt: skip

    async def _run_request(self, req: Request, writer: asyncio.StreamWriter) -> None:
        attempt = req.headers.get("x-attempt-id", "")
        run = Run(self._record.now(), attempt, self.name, req.headers)
        self.runs.append(run)
        base = {"X-Attempt-Id": attempt, "X-Server-Seal": f"seal.{attempt}"}
        expected = req.headers.get("x-expect-version")
        if self.is_loading:
            run.refused = 503
            writer.write(response(503, {**base, "X-Not-Executed": "1"}, b""))
            return
        is_other = req.headers.get("x-target-instance", self.name) != self.name
        if is_other or (self.model and expected not in (None, str(self.version))):
            run.refused = 421
            self._record.write(f"replica {self.name} refuses {attempt} with 421")
            writer.write(response(421, {**base, "X-Not-Executed": "1"}, b""))
            return
        self._record.write(f"replica {self.name} runs {attempt} tenant={req.headers.get('x-tenant')}")
        try:
            await self._answer(run, req, base, writer)
        except asyncio.CancelledError:
            run.ended = "dropped"
            self._record.write(f"replica {self.name} drops {attempt}: its connection closed")
            raise
        run.ended = "answered"
        self._record.write(f"replica {self.name} has answered {attempt}")

    async def _answer(
        self, run: Run, req: Request, base: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        if not self.events:
            await asyncio.sleep(self.work_s)
            writer.write(response(200, base, b"done"))
            return
        async with self._prefill:
            await asyncio.sleep(self._use_cache(run, req) / PREFILL_TOKENS_PER_S)
        lines = {**base, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                 "X-Weight-Versions": str(self.version)}  # fmt: skip
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        if run.attempt in self.endless:
            self._record.write(f"replica {self.name} sends bytes without end to {run.attempt}")
            await self._send_endless(writer)
        first = int(req.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.event_s)
            data = f"id: {number}\ndata: token{number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")

    async def _send_endless(self, writer: asyncio.StreamWriter) -> None:
        """Send chunks of 50 bytes that never end an event, until the caller closes."""
        while True:
            for _ in range(100):
                writer.write(b"32\r\n%b\r\n" % (b"x" * 50))
            await writer.drain()
            await asyncio.sleep(0.005)

    def _use_cache(self, run: Run, req: Request) -> int:
        """Reuse the cached parts of the prompt and keep all; return the tokens to be read."""
        salt = req.headers.get("x-cache-salt", "")
        tenant = req.headers.get("x-tenant", "")
        chain = ""
        makers = []
        is_cached = True
        missing = 0
        for part in req.headers.get("x-prefix-hash", "").split(","):
            chain += f"/{part}"
            is_cached = is_cached and (salt, chain) in self._cache
            if is_cached:
                makers.append(self._cache[salt, chain])
            else:
                self._cache[salt, chain] = tenant
                missing += int(part.split(":")[1])
        run.cached_from = ",".join(sorted(set(makers)))
        if makers:
            self._record.write(
                f"replica {self.name}: {run.attempt} of {tenant} reuses {len(makers)} cached parts"
                f" under salt {salt!r}, made by {run.cached_from}"
            )
        return missing


# Clients


@dataclass
class Answer:
    """Hold what a client saw; `ended` is "whole", "cut" or "no connection"."""

    attempt: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: str = "cut"
    ended_at: float = 0.0


class Client:
    """Send requests over one kept connection, one at a time."""

    opened: ClassVar[list[Client]] = []

    def __init__(self, address: str, record: Record) -> None:
        Client.opened.append(self)
        self._address = address
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self, method: str, path: str, attempt: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and read its answer."""
        answer = Answer(attempt, self._record.now())
        lines = {"Host": HOST, "X-Attempt-Id": attempt, **headers}
        if body:
            lines["Content-Length"] = str(len(body))
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        try:
            if self._streams is None:
                host, port = self._address.rsplit(":", 1)
                async with asyncio.timeout(1.0):
                    self._streams = await asyncio.open_connection(host, int(port), limit=1 << 20)
        except (OSError, TimeoutError):
            answer.ended = "no connection"
        else:
            reader, writer = self._streams
            try:
                answer.sent_at = self._record.now()
                writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
                async with asyncio.timeout(20.0):
                    await self._read(reader, answer)
            except (OSError, EOFError, ValueError, TimeoutError):
                answer.ended = "cut"
        answer.ended_at = self._record.now()
        if answer.ended != "whole" or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self._record.write(
            f"client sent {attempt} {method} {path} at {answer.sent_at:.3f}:"
            f" status {answer.status or '-'}, {answer.ended}, {len(answer.body)} bytes"
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        found = await read_head(reader)
        if found is None:
            raise EOFError
        answer.status = int(found[0].split(" ")[1])
        answer.headers = found[1]
        if found[1].get("transfer-encoding", "").lower() != "chunked":
            answer.body = await reader.readexactly(int(found[1].get("content-length", "0")))
            answer.ended = "whole"
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.ended = "whole"
                return
            answer.body += data[:-2]


# The project's own program

HOST = "jepu9.example"
MODEL = "daka510000"
TENANTS = {"sese880": "ctnfzs989anu6wsjnban", "vowu191": "kq31mmz0zzh81kpqa2xx"}


def make_config(version: int, isolated: bool = False) -> dict[str, Any]:
    """Return the operator's configuration: a service with a model and one without."""
    common = {"host": HOST, "target_latency_ms": 600, "priority": 1, "public": False}
    return {
        "version": version,
        "routes": [
            {**common, "name": "ask", "path_prefix": "/ask/", "kind": "stream",
             "service": "lm-pool", "timeout_ms": 15000, "max_attempts": 1, "sticky": True,
             "can_resume": False, "gap_aim_ms": 600},
            {**common, "name": "book", "path_prefix": "/book/", "kind": "non_idempotent",
             "service": "pass-desk", "timeout_ms": 5000, "max_attempts": 1},
            {**common, "name": "look", "path_prefix": "/look/", "kind": "idempotent",
             "service": "pass-desk", "timeout_ms": 5000, "max_attempts": 2},
        ],
        "services": [
            {"name": "lm-pool", "max_conns": 360, "health_path": "/healthz",
             "engine": {"slots": 64, "kv_capacity": 92928, "models": [{"name": MODEL}]}},
            {"name": "pass-desk", "max_conns": 96, "health_path": "/healthz"},
        ],
        "tenants": [
            {"name": name, "api_keys": [key], "isolated": isolated}
            for name, key in TENANTS.items()
        ],
        "limits": {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }  # fmt: skip


def plain_headers(tenant: str = "sese880", deadline_ms: int = 1000) -> dict[str, str]:
    """Return the headers of a request to a service without a model."""
    return {"X-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {TENANTS[tenant]}"}


def prompt_headers(parts: str, tenant: str = "sese880") -> dict[str, str]:
    """Return the headers of a request with a prompt."""
    tokens = sum(int(part.split(":")[1]) for part in parts.split(","))
    return {**plain_headers(tenant, 15000), "X-Model": MODEL, "X-Token-Counts": f"{tokens},80",
            "X-Prefix-Hash": parts}  # fmt: skip


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of a loopback address that are free now."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def free_host() -> str:
    """Return a loopback address on which the port of the metrics is free."""
    while True:
        host = "127." + ".".join(str(random.randrange(2, 250)) for _ in range(3))
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
        return host


class Instance:
    """One entry instance: a process of the project's program."""

    def __init__(self, name: str, zone: str, rig: Rig) -> None:
        self.name = name
        host = free_host()
        front, ready, peer = free_ports(host, 3)
        self.front = f"{host}:{front}"
        self.ready = f"{host}:{ready}"
        self.process: asyncio.subprocess.Process | None = None
        self._rig = rig
        self._settings = rig.folder / f"{name}.json"
        self._settings.write_text(json.dumps({
            "node_name": name, "role": "entry", "machine_class": "front", "serves": ["front"],
            "ip": host, "zone": zone, "region": "gulf-south", "zones": {zone: "gulf-south"},
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [peer, peer], "seeds": [], "bootstrap": True, "fault_counted": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 150, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "invariants": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                           "stream", "engine", "tenants", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": rig.store.http.address, "form": "table",
                         "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0,
                         "part_writes_s": 200, "row_bytes": 65536, "across": False,
                         "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0,
                         "blob_mb_s": 80.0},
        }))  # fmt: skip

    async def start(self) -> None:
        """Start the process with the command of the deploy file and wait until it is ready."""
        await self.launch()
        await self._rig.wait_until(lambda: self.is_ready(), 25.0, f"{self.name} is not ready")
        self._rig.record.write(f"instance {self.name} is ready")

    async def launch(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["RATTANGATE_BOOT"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._rig.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        self._rig.record.write(f"instance {self.name} starts")

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        host, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"GET /readyz HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            async with asyncio.timeout(1.0):
                found = await read_head(reader)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return found is not None and " 200 " in found[0] + " "

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._rig.record.write(f"{number.name} to instance {self.name}")
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            self._rig.record.write(f"instance {self.name} has ended already")

    async def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Rig:
    """Hold the stand-ins and the instances of one case, and end them all."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store(f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}", self.record)
        self.replicas: dict[str, Replica] = {}
        self.instances: list[Instance] = []
        self._tasks: list[asyncio.Task[None]] = []

    def add_replica(self, name: str, service: str, **changes: Any) -> Replica:
        """Add a replica, to be started with the store."""
        address = f"127.0.0.1:{free_ports('127.0.0.1', 1)[0]}"
        replica = Replica(name, service, address, self.store, self.record)
        for field_name, value in changes.items():
            setattr(replica, field_name, value)
        self.replicas[name] = replica
        return replica

    def start_task(self, work: Awaitable[None]) -> None:
        """Run something beside the script until its end."""
        self._tasks.append(asyncio.ensure_future(work))

    async def start(self, config: dict[str, Any], instances: int = 1) -> None:
        """Start the store, the replicas and the instances."""
        await self.store.http.start()
        self.store.put("op", "config", config)
        self.store.name_version(MODEL, 1)
        for replica in self.replicas.values():
            self.start_task(replica.run())
        await asyncio.sleep(0.2)
        await self.add_instances(instances)

    async def add_instances(self, count: int) -> None:
        """Start more instances and wait until they are ready."""
        first = len(self.instances) + 1
        added = [Instance(f"front-{first + number}", "riverside", self) for number in range(count)]
        self.instances += added
        await asyncio.gather(*(instance.start() for instance in added))

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], limit_s: float, detail: str
    ) -> None:
        """Wait until a condition holds; raise CannotRun after a time."""
        deadline = time.monotonic() + limit_s
        while not await condition():
            if time.monotonic() > deadline:
                raise CannotRun(detail)
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2.0)
        await asyncio.gather(*(instance.end() for instance in self.instances))
        for client in Client.opened:
            client.close()
        for replica in self.replicas.values():
            replica.http.stop()
        self.store.http.stop()
        await asyncio.sleep(0.1)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: Path, play: Callable[[Rig], Awaitable[list[str]]]) -> NoReturn:
    """Play a case for at most 105 s and exit; `play` returns what broke the rule, nothing if it held."""

    async def run() -> int:
        rig = Rig(case)
        try:
            async with asyncio.timeout(105.0):
                broken = await play(rig)
        except (CannotRun, TimeoutError, AssertionError, OSError) as exc:
            rig.record.write(f"the case could not run: {exc!r}")
            return NOT_RUN
        finally:
            await rig.stop()
        for line in broken:
            rig.record.write(f"BROKEN {line}")
        rig.record.write("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD

    loop = asyncio.new_event_loop()
    code = loop.run_until_complete(run())
    # All processes have ended; tasks that are left must not delay the end of the script.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)

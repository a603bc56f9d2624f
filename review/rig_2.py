"""Stand-ins for cases 6 to 10: the platform's store, replicas, callers and a runner of the program.

Only the standard library is used. The stand-ins run in the process of the case; each entry instance
is a process of its own, started with the command of the deploy file. Everything is on loopback.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parent.parent
HOST = "jepu9.example"
KEY = "ctnfzs989anu6wsjnban"
WORKSPACE = "sese880"
MODEL = "daka510000"
ZONE = "riverside"
# How long a replica takes to load weights.
LOAD_S = 1.1

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_ms": 250,
    "skew_max_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "recover_s": 12,
    "transit_ms": 120,
    "again_s": 10,
    "require_fence": False,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "version_ms": 12000,
    "version_all_ms": 17000,
}


class CaseError(Exception):
    """Report that a case could not run."""


class Record:
    """Write what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


# --- HTTP/1.1 ------------------------------------------------------------------------------------


# SO_LINGER for no time: on, 0 s.
_LINGER_NONE = struct.pack("ii", 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    writer.transport.abort()


@dataclass
class Message:
    """Hold the first line, the headers (names in lowercase) and the body of a message."""

    line: str
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *fields = raw.decode("latin-1").split("\r\n")
    headers = {}
    for item in fields:
        name, separator, value = item.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(line, headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    message = await read_head(reader)
    if message is not None:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


async def read_chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a chunked body; raise ConnectionError if it is cut off."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the body is cut off")
        size = int(line, 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionError("the body is cut off") from exc
        if size == 0:
            return
        yield data[:-2]


# --- the platform's store ------------------------------------------------------------------------


class Store:
    """Keep rows with versions and their history, as the platform's store does.

    A row is written by `put`, which returns its version; `era` is named in all answers.
    """

    def __init__(self, record: Record) -> None:
        self.address = ""
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.changes: list[tuple[int, str, str, bytes | None]] = []
        self.is_away = False
        self.era = 1
        self._changed = asyncio.Event()
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: object) -> int:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, key, raw)])
        return self.version

    def remove(self, table: str, key: str) -> None:
        self._apply([(table, key, None)])

    def copy(self) -> tuple[Any, ...]:
        """Return a copy from which the store can come back."""
        return (self.version, dict(self.rows), list(self.changes))

    def return_from(self, copied: tuple[Any, ...]) -> None:
        """Come back from a copy: what was written since is gone, and the era rises by one."""
        self.version, rows, changes = copied
        self.rows, self.changes = dict(rows), list(changes)
        self.era += 1
        self.drop_connections()

    def drop_connections(self) -> None:
        for writer in list(self._writers):
            reset(writer)

    def _apply(self, items: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        for table, key, value in items:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.version, value)
            self.changes.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        translate: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]] | None = None,
    ) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if self.is_away:
                    reset(writer)
                    return
                status, answer = await self._answer(req)
                if translate is not None:
                    answer = await translate(answer)
                body = json.dumps(answer).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req: Message) -> tuple[int, dict[str, Any]]:
        method, target, _ = req.line.split(" ")
        path, _, query = target.partition("?")
        args = dict(parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            await asyncio.sleep(0.004)
            return 200, self._read(args)
        if path == "/rows-feed":
            return await self._feed(args)
        if path == "/rows-tx" and method == "POST":
            await asyncio.sleep(0.005)
            return self._transact(json.loads(req.body))
        return 404, {}

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, value = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}

    def _stamp(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _read(self, args: dict[str, str]) -> dict[str, Any]:
        table, start, end = args["table"], args.get("from", ""), args.get("to", "")
        keys = sorted(key for name, key in self.rows if name == table)
        chosen = [key for key in keys if key >= start and (not end or key < end)]
        chosen = chosen[: int(args.get("limit", "500"))]
        rows = [self._row(table, key) for key in chosen]
        return {"rows": rows, "has_more": False, **self._stamp()}

    async def _feed(self, args: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, era = int(args["after"]), self.era
        if after > self.version:
            return 410, {}
        deadline = time.monotonic() + int(args["wait_ms"]) / 1000
        while not (rows := self._changes_after(args["table"], after)):
            left_s = deadline - time.monotonic()
            if left_s <= 0 or self.era != era:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return 200, {"rows": rows, **self._stamp()}

    def _changes_after(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = []
        for version, name, key, value in self.changes:
            if name != table or version <= after:
                continue
            row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            rows.append(row)
        return rows

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        def version_of(item: dict[str, Any]) -> int:
            return self.rows.get((item["table"], item["key"]), (0, b""))[0]

        if any(version_of(item) != item["ver"] for item in body["expected"]):
            found = [(item["table"], item["key"]) for item in body["expected"]]
            return 412, {"rows": [self._row(*one) for one in found if one in self.rows]}
        items = [
            (item["table"], item["key"], base64.b64decode(item["value"]))
            for item in body["set_keys"]
        ]
        self._apply([*items, *((item["table"], item["key"], None) for item in body["remove"])])
        return 200, self._stamp()


# --- links that can be cut -----------------------------------------------------------------------

INSTANCE_TABLE = "rattangate-instances"
INSTANCE_PREFIX = "instance/"


class Link:
    """Pass bytes to a target address; while it is cut, hold them back in both directions."""

    def __init__(self, target: str) -> None:
        self.address = ""
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def cut(self) -> None:
        self._open.clear()

    def heal(self) -> None:
        self._open.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._open.wait()
            host, port = self._target.rsplit(":", 1)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            reset(writer)
            return
        passing = {
            asyncio.ensure_future(self._pass(reader, far_writer)),
            asyncio.ensure_future(self._pass(far_reader, writer)),
        }
        try:
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        finally:
            for task in passing:
                task.cancel()
            writer.close()
            far_writer.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass the bytes of one direction on, and how the connection ends."""
        try:
            while data := await reader.read(65_536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
            await self._open.wait()
        except OSError:
            reset(writer)
        except asyncio.CancelledError:
            return


class Network:
    """Give each instance links of its own to the store and to the other instances.

    An instance finds the others through its row in the store, so that the store shows each of them
    the addresses of its links in place of those of the others.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._links: dict[tuple[str, str], Link] = {}
        self._views: list[asyncio.Server] = []

    async def store_address_for(self, viewer: str) -> str:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._store.serve(reader, writer, lambda answer: self._translate(viewer, answer))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._views.append(server)
        host, port = server.sockets[0].getsockname()
        link = Link(f"{host}:{port}")
        await link.start()
        self._links[viewer, "store"] = link
        return link.address

    def cut_off(self, name: str) -> None:
        """Cut an instance off from the store and from all other instances, in both directions."""
        for pair, link in self._links.items():
            if name in pair:
                link.cut()

    def heal(self) -> None:
        for link in self._links.values():
            link.heal()

    async def _translate(self, viewer: str, answer: dict[str, Any]) -> dict[str, Any]:
        rows = []
        for row in answer.get("rows", ()):
            name = row["key"].removeprefix(INSTANCE_PREFIX)
            is_other = name not in (row["key"], viewer)
            if row["table"] == INSTANCE_TABLE and is_other and "value" in row:
                entry = json.loads(base64.b64decode(row["value"]))
                link = self._links.get((viewer, name))
                if link is None:
                    link = self._links[viewer, name] = Link(entry["address"])
                    await link.start()
                entry["address"] = link.address
                row = {**row, "value": base64.b64encode(json.dumps(entry).encode()).decode()}
            rows.append(row)
        return {**answer, "rows": rows} if "rows" in answer else answer


# --- replicas ------------------------------------------------------------------------------------


@dataclass
class Run:
    """Hold one request that a replica began to run."""

    replica: str
    attempt_id: str
    at: float
    headers: dict[str, str]
    body: bytes
    line: str
    weights: int


@dataclass
class Exchange:
    """Hold a request at a replica and the connection to answer on."""

    replica: Replica
    request: Message
    writer: asyncio.StreamWriter

    async def respond(self, status: int, body: bytes = b"", **headers: str) -> None:
        fields = {"X-Attempt-Id": self.request.headers.get("x-attempt-id", "")}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        if status < 300 or (status >= 500 and "X-Not-Executed" not in fields):
            fields["X-Server-Seal"] = f"seal.{self.replica.name}"
        fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.writer.write(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)
        await self.writer.drain()

    async def begin_stream(self) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"X-Server-Seal: seal.{self.replica.name}\r\n"
            f"X-Attempt-Id: {self.request.headers['x-attempt-id']}\r\nX-Weight-Versions: 1\r\n\r\n"
        )
        self.writer.write(head.encode())
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await self.writer.drain()


Answer = Callable[[Exchange], Awaitable[None]]


class Replica:
    """Run the requests of one replica; `answer` runs one and answers it.

    A request for another replica gets 421, one for other weights too, and neither is run.
    """

    def __init__(
        self, name: str, service: str, answer: Answer, record: Record, software: str = "1"
    ) -> None:
        self.name = name
        self.service = service
        self.software = software
        self.born = int(time.time() * 1000)
        self.address = ""
        self.state = "ready"
        self.models = [{"name": MODEL, "version": 1}] if service == "llm" else []
        self.runs: list[Run] = []
        self.orders: list[dict[str, Any]] = []
        self.named_versions: set[int] = {1}
        self.busy_until = 0.0
        self.on_change: Callable[[Replica], None] = lambda replica: None
        self._answer = answer
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def crash(self) -> None:
        """End at once: connections are reset and new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": self.software,
            "slots": 64 if self.service == "llm" else 6,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
            **({"stage": "combined", "models": self.models} if self.models else {}),
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                await self._handle(Exchange(self, req, writer))
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.request
        if req.line.startswith("GET /report "):
            report = {"born": self.born, "stage": "combined", "models": self.models}
            is_busy = time.monotonic() < self.busy_until
            report |= {"busy": is_busy, "seq": len(self.orders), "queued": 0, "running": 0}
            await self._send_json(exchange, report)
            return
        if req.line.startswith("POST /order "):
            await self._send_json(exchange, {}, self._accept_order(json.loads(req.body)))
            return
        attempt_id = req.headers.get("x-attempt-id", "")
        expected = req.headers.get("x-expect-version")
        is_misdirected = req.headers.get("x-target-instance", self.name) != self.name
        if not is_misdirected and self.models and time.monotonic() < self.busy_until:
            await exchange.respond(503, X_Not_Executed="1")
            return
        is_of_other_version = (
            expected is not None and self.models and (int(expected) != self.models[0]["version"])
        )
        if is_misdirected or is_of_other_version:
            self._record(f"{self.name} answers 421 to {attempt_id}")
            await exchange.respond(421, X_Not_Executed="1")
            return
        weights = self.models[0]["version"] if self.models else 0
        run = Run(self.name, attempt_id, time.monotonic(), req.headers, req.body, req.line, weights)
        self.runs.append(run)
        from_id = req.headers.get("last-event-id")
        detail = f" after event {from_id}" if from_id else ""
        self._record(f"{self.name} (software {self.software}) runs {attempt_id}{detail}")
        await self._answer(exchange)

    def _accept_order(self, order: dict[str, Any]) -> int:
        """Begin to load the ordered weights; return the status of the answer."""
        version = order["version"]
        self._record(
            f"{self.name}, which has weights {self.models[0]['version']}, is ordered to load {version}"
        )
        if version not in self.named_versions:
            return 400
        if time.monotonic() < self.busy_until or order.get("expected") not in (
            None,
            len(self.orders),
        ):
            return 409
        if version == self.models[0]["version"]:
            return 200
        self.orders.append(order)
        self.busy_until = time.monotonic() + LOAD_S
        asyncio.get_running_loop().call_later(LOAD_S, self._finish_load, version)
        return 202

    def _finish_load(self, version: int) -> None:
        self.models = [{"name": MODEL, "version": version}]
        self._record(f"{self.name} has weights {version} now")
        self.on_change(self)

    async def _send_json(self, exchange: Exchange, body: object, status: int = 200) -> None:
        data = json.dumps(body).encode()
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        exchange.writer.write(head.encode() + data)
        await exchange.writer.drain()


def stream_answer(last: int, gap_s: float) -> Answer:
    """Answer with a stream of events up to `last`, one every `gap_s` seconds."""

    async def answer(exchange: Exchange) -> None:
        first = int(exchange.request.headers.get("last-event-id", "0")) + 1
        await exchange.begin_stream()
        for number in range(first, last + 1):
            text = f"id: {number}\ndata: {exchange.replica.software} {number}\n\n"
            await exchange.send_chunk(text.encode())
            await asyncio.sleep(gap_s)
        await exchange.send_chunk(b"")

    return answer


# --- the operator's configuration -----------------------------------------------------------------


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    common = {"host": HOST, "priority": 1, "public": False, "max_attempts": 1}
    engine = {"slots": 64, "kv_capacity": 92928, "models": [{"name": MODEL}]}
    config = {
        "version": version,
        "routes": [
            {
                **common,
                "name": "rider",
                "path_prefix": "/lepu270/2f/",
                "kind": "stream",
                "service": "llm",
                "sticky": True,
                "can_resume": True,
                "max_attempts": 2,
                "timeout_ms": 15000,
                "target_latency_ms": 600,
                "gap_aim_ms": 600,
            },
            {
                **common,
                "name": "lookup",
                "path_prefix": "/fiti832/",
                "kind": "idempotent",
                "service": "desk",
                "max_attempts": 2,
                "timeout_ms": 1000,
                "target_latency_ms": 200,
            },
            {
                **common,
                "name": "reserve",
                "path_prefix": "/wuzu41/",
                "kind": "non_idempotent",
                "service": "desk",
                "timeout_ms": 1000,
                "target_latency_ms": 200,
            },
        ],
        "services": [{"name": "llm", "max_conns": 360, "engine": engine}, {"name": "desk"}],
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "isolated": False}],
        "limits": {
            "header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    return {**config, **changes}


# --- entry instances ------------------------------------------------------------------------------


def _free_ip() -> str:
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def _free_ports(ip: str, count: int) -> list[int]:
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@dataclass
class Instance:
    """Run one entry instance as a process of its own, as the platform does."""

    name: str
    folder: Path
    store_address: str
    record: Record
    ip: str = field(default_factory=_free_ip)
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))
    port: int = 0
    ready_port: int = 0
    started_at: float = 0.0
    process: subprocess.Popen[bytes] | None = None

    def __post_init__(self) -> None:
        self.port, self.ready_port, self._peer_port = _free_ports(self.ip, 3)
        self._settings = self.folder / f"{self.name}.json"
        self.write_settings()

    def write_settings(self) -> None:
        settings = {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": ZONE,
            "region": "gulf-south",
            "zones": {ZONE: "gulf-south"},
            "listen": {"front": f"{self.ip}:{self.port}", "ready": f"{self.ip}:{self.ready_port}"},
            "port_range": [self._peer_port, self._peer_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 150, "max_fds": 4100},
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "bounds": self.bounds,
            "platform": {"address": self.store_address, "form": "table"},
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["RATTANGATE_BOOT"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.started_at = time.monotonic()
        self.record(f"{self.name} is started (process {self.process.pid})")

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)
        self.record(f"{self.name} gets {number.name}")

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, limit_s: float = 25.0) -> None:
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}")
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                if await asyncio.wait_for(self._is_ready(), 1.0):
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready")

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            return head is not None and head.line.split(" ")[1] == "200"
        finally:
            writer.close()


# --- callers --------------------------------------------------------------------------------------


@dataclass
class Answered:
    """Hold what a caller got; `status` is 0 without an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def encode_request(
    method: str, path: str, attempt_id: str, deadline_ms: int, body: bytes, **headers: str
) -> bytes:
    fields = {"Host": HOST, "X-Attempt-Id": attempt_id, "X-Deadline-Ms": str(deadline_ms)}
    fields["Authorization"] = f"Bearer {KEY}"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def call(address: tuple[str, int], request: bytes, limit_s: float) -> Answered:
    """Send one request on a new connection and read its whole answer."""
    try:
        return await asyncio.wait_for(_call(address, request), limit_s)
    except (TimeoutError, OSError):
        return Answered(0, {}, b"", False)


async def _call(address: tuple[str, int], request: bytes) -> Answered:
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return Answered(0, {}, b"", False)
        status = int(head.line.split(" ")[1])
        body = b""
        try:
            if "content-length" in head.headers:
                body = await reader.readexactly(int(head.headers["content-length"]))
            else:
                async for chunk in read_chunks(reader):
                    body += chunk
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answered(status, head.headers, body, False)
        return Answered(status, head.headers, body, True)
    finally:
        writer.close()


def new_attempt_id() -> str:
    return f"{random.getrandbits(64):016x}"


# --- the frame of a case --------------------------------------------------------------------------


@dataclass
class Deployment:
    """Hold the parts of a small deployment."""

    folder: Path
    record: Record
    store: Store
    replicas: list[Replica] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)

    def list_replica(self, replica: Replica) -> None:
        self.store.put("servers", replica.name, replica.entry())

    async def add_replica(self, replica: Replica) -> None:
        await replica.start()
        replica.on_change = self.list_replica
        self.replicas.append(replica)
        self.list_replica(replica)

    def name_weights(self, version: int) -> float:
        """Name weights as the operator does; return when that was acknowledged."""
        for replica in self.replicas:
            replica.named_versions.add(version)
        self.store.put("op", f"version/{MODEL}", {"model": MODEL, "version": version})
        self.record(f"weights {version} are named")
        return time.monotonic()

    def add_instance(self, name: str, store_address: str = "") -> Instance:
        address = store_address or self.store.address
        instance = Instance(name, self.folder, address, self.record)
        self.instances.append(instance)
        instance.start()
        return instance

    async def wait_ready(self) -> None:
        for instance in self.instances:
            await instance.wait_ready()


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    folder: Path, case: Callable[[Deployment], Awaitable[int]], limit_s: float = 110.0
) -> None:
    """Run a case; exit with 1 if it broke the rule, 0 if the rule held, 2 if it could not run."""
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        code = asyncio.run(_run(Path(temporary), case, record, limit_s))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(temporary).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
    record.close()
    sys.exit(code)


async def _run(
    temporary: Path, case: Callable[[Deployment], Awaitable[int]], record: Record, limit_s: float
) -> int:
    deployment = Deployment(temporary, record, Store(record))
    try:
        await deployment.store.start()
        code = await asyncio.wait_for(case(deployment), limit_s)
    except (TimeoutError, CaseError, OSError) as exc:
        record(f"the case could not run: {exc!r}")
        code = NOT_RUN
    finally:
        for instance in deployment.instances:
            instance.end()
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    return code

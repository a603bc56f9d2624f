"""Stand-ins for a small deployment on loopback: store, replicas, clients and the processes.

Only the standard library is used. All addresses are loopback addresses with free ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MODEL = "daka510000"
HOST = "jepu9.example"
TENANT = "sese880"
KEY = "ctnfzs989anu6wsjnban"
HEARTBEAT_S = 1.2
TIME_LIMIT_S = 105.0
# With SO_LINGER set so, closing a connection resets it.
LINGER_NONE = struct.pack("ii", 1, 0)
# The bounds of the small deployment magbend-parkride.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_ms": 250, "skew_max_ms": 5000, "strict_revoke": True, "revoke_ms": 5000,
    "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 52, "recover_s": 12,
    "transit_ms": 120, "again_s": 10, "require_fence": False, "lease_ms": 3000, "thaw_ms": 300,
    "version_ms": 12000, "version_all_ms": 17000,
}
STREAM_PREFIX = "/bulletin/"
RESUMABLE_PREFIX = "/rider/"
BOOKING_PREFIX = "/reserve/"
LOOKUP_PREFIX = "/lookup/"


def free_address(host: str = "127.0.0.1") -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class Record:
    """Write what happens to record.txt, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def now(self) -> float:
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Head:
    """Hold the head and body of one message."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the first line and the headers, with lowercase names; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    start, *lines = data.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return start, {name.lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Head | None:
    head = await read_head(reader)
    if head is None:
        return None
    size = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(head[0], head[1], body)


def encode(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


def encode_json(status: int, value: object, headers: dict[str, str] | None = None) -> bytes:
    headers = {"Content-Type": "application/json", **(headers or {})}
    return encode(status, json.dumps(value).encode(), headers)


class Server:
    """Serve HTTP on one address; `handle` answers one request."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)

    async def stop(self, reset: bool = True) -> None:
        """Close the listener and all connections, as a process that crashes does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            if reset:
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                writer.transport.abort()
            else:
                writer.close()

    async def cut(self, for_s: float) -> None:
        """Reset all connections and take none for a time; what runs here goes on otherwise."""
        await self.stop()
        await asyncio.sleep(for_s)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await self.handle(req, reader, writer):
                    break
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            if not asyncio.get_running_loop().is_closed():
                writer.close()

    async def handle(
        self, req: Head, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows in tables, transactions, feeds and a steady clock."""

    def __init__(self, address: str, record: Record) -> None:
        super().__init__(address)
        self.record = record
        self.era = 0
        self.ver = 1
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._apply([(table, key, raw)])

    def remove(self, table: str, key: str) -> None:
        self._apply([(table, key, None)])

    def _apply(self, changes: list[tuple[str, str, bytes | None]]) -> None:
        self.ver += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (self.ver, value)
            self.history.append((self.ver, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def make_copy(self) -> tuple:
        return self.ver, dict(self.rows), list(self.history)

    def return_from(self, copy: tuple) -> None:
        """Come back from an older copy: later writes are gone, and a new era begins."""
        self.era += 1
        self.ver, rows, history = copy
        self.rows, self.history = dict(rows), list(history)
        self._changed.set()
        self._changed = asyncio.Event()

    def _now_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    async def handle(self, req, reader, writer) -> bool:
        method, target, _ = req.start.split(" ", 2)
        path, _, query = target.partition("?")
        args = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        await asyncio.sleep(0.004)
        if path == "/rows-get":
            answer = self._get(args)
        elif path == "/rows-feed":
            answer = await self._feed(args)
        elif path == "/rows-tx":
            answer = self._transact(json.loads(req.body))
        else:
            answer = (404, {})
        writer.write(encode_json(*answer, self._headers()))
        await writer.drain()
        return True

    def _get(self, args: dict[str, str]) -> tuple[int, object]:
        start, end = args.get("from", ""), args.get("to", "")
        keys = sorted(key for table, key in self.rows if table == args["table"])
        keys = [key for key in keys if key >= start and (not end or key < end)]
        limit = int(args.get("limit", "500"))
        rows = [self._row(args["table"], key) for key in keys[:limit]]
        more = len(keys) > limit
        return 200, {"rows": rows, "has_more": more, "ver": self.ver, "now_ms": self._now_ms()}

    def _row(self, table: str, key: str) -> dict[str, object]:
        ver, value = self.rows[table, key]
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "ver": ver, "value": text}

    async def _feed(self, args: dict[str, str]) -> tuple[int, object]:
        after, table, era = int(args["after"]), args["table"], self.era
        if after > self.ver:
            return 410, {}
        until = time.monotonic() + int(args["wait_ms"]) / 1000
        while not (changes := self._changes(table, after)) and self.era == era:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if self.era != era:
            return 410, {}
        return 200, {"rows": changes, "ver": self.ver, "now_ms": self._now_ms()}

    def _changes(self, table: str, after: int) -> list[dict[str, object]]:
        rows = []
        for ver, name, key, value in reversed(self.history):
            if ver <= after:
                break
            if name == table:
                row = {"table": table, "part": "", "key": key, "ver": ver}
                if value is None:
                    rows.append({**row, "tombstone": True})
                else:
                    rows.append({**row, "value": base64.b64encode(value).decode()})
        return rows[::-1]

    def _transact(self, body: dict) -> tuple[int, object]:
        expected = body.get("expected", [])
        ids = [(item["table"], item["key"]) for item in expected]
        versions = [self.rows.get(one, (0, b""))[0] for one in ids]
        if versions != [item["ver"] for item in expected]:
            return 412, {"rows": [self._row(*one) for one in ids if one in self.rows]}
        puts = body.get("set_keys", [])
        if any(item["table"] in ("op", "servers") for item in [*puts, *body.get("remove", [])]):
            return 403, {}
        changes = [(item["table"], item["key"], base64.b64decode(item["value"])) for item in puts]
        removed = [(item["table"], item["key"], None) for item in body.get("remove", [])]
        self._apply([*changes, *removed])
        return 200, {"ver": self.ver, "now_ms": self._now_ms()}


def make_config(version: int, **changes: object) -> dict[str, object]:
    """Make the operator's configuration: a model service and a plain one, a key for all routes."""
    common = {"host": HOST, "target_latency_ms": 1000, "priority": 1}
    routes = [
        {**common, "name": "b", "path_prefix": STREAM_PREFIX, "kind": "stream", "sticky": True,
         "service": "lm-pool", "timeout_ms": 5000, "max_attempts": 1},
        {**common, "name": "q", "path_prefix": RESUMABLE_PREFIX, "kind": "stream", "sticky": True,
         "service": "lm-pool", "timeout_ms": 15000, "max_attempts": 2, "can_resume": True},
        {**common, "name": "r", "path_prefix": BOOKING_PREFIX, "kind": "non_idempotent",
         "service": "pass-desk", "timeout_ms": 1000, "max_attempts": 1},
        {**common, "name": "l", "path_prefix": LOOKUP_PREFIX, "kind": "idempotent",
         "service": "pass-desk", "timeout_ms": 1000, "max_attempts": 2},
    ]
    services = [
        {"name": "lm-pool", "max_conns": 360, "health_path": "/healthz",
         "engine": {"slots": 64, "kv_capacity": 92928, "models": [{"name": MODEL}]}},
        {"name": "pass-desk", "max_conns": 96, "health_path": "/healthz"},
    ]
    return {
        "version": version, "routes": routes, "services": services,
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        "limits": {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        **changes,
    }


class Replica(Server):
    """A sound replica: plain, or one that generates streams if it has a weights version."""

    def __init__(self, name, service, store: Store, record: Record, weights: int = 0,
                 zone: str = "riverside", software: str = "1") -> None:
        super().__init__(free_address())
        self.name, self.service, self.zone, self.software = name, service, zone, software
        self.store, self.record, self.weights = store, record, weights
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.seq = 0
        self.beats = 0
        self.is_loading = False
        self.is_leaving = False
        self.token_s = 0.02
        self.tokens = 13
        self.work_s = 0.03
        self.runs: list[tuple[float, str, int]] = []
        self.orders: list[tuple[float, dict, int]] = []
        self._running = 0
        self._load_s = 1.1

    def entry(self) -> dict[str, object]:
        models = [{"name": MODEL, "version": self.weights, "adapters": []}] if self.weights else []
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.software, "slots": 64 if self.weights else 6, "state": self.state,
                "cold_left_ms": 0, "seq": self.beats, "born": self.born, "stage": "combined",
                "models": models}

    def write_entry(self) -> None:
        self.beats += 1
        self.store.put("servers", self.name, self.entry())

    async def run(self) -> None:
        """Serve, and write the entry at each heartbeat, until cancelled."""
        await self.start()
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, req, reader, writer) -> bool:
        method, target, _ = req.start.split(" ", 2)
        if target == "/report":
            models = self.entry()["models"]
            body = {"stage": "combined", "models": models, "busy": self.is_loading,
                    "seq": self.seq, "queued": 0, "running": self._running, "kv_used": 0,
                    "kv_total": 90000, "handles": 0, "born": self.born}
            writer.write(encode_json(200, body))
        elif target == "/healthz":
            writer.write(encode(200, b"", {"X-Instance-Id": self.name}))
        elif target == "/order":
            writer.write(encode_json(self._take_order(req), {}))
        else:
            return await self.serve_request(req, target, writer)
        await writer.drain()
        return True

    def _take_order(self, req: Head) -> int:
        order = json.loads(req.body)
        status = self._order_status(req, order)
        self.orders.append((self.record.now(), order, status))
        self.record(f"order at {self.name}: {json.dumps(order)} -> {status}")
        if status == 202:
            self.seq += 1
            self.is_loading = True
            asyncio.get_running_loop().create_task(self._load(order["version"]))
        return status

    def _order_status(self, req: Head, order: dict) -> int:
        if req.headers.get("x-target-instance", self.name) != self.name:
            return 421
        if not order.get("holder") or not order.get("fence"):
            return 400
        named = self.store.rows.get(("op", f"version/{order['model']}"))
        if named is None or order["version"] > json.loads(named[1])["version"]:
            return 400
        if self.is_loading or order.get("expected", self.seq) != self.seq:
            return 409
        return 200 if order["version"] == self.weights else 202

    async def _load(self, version: int) -> None:
        while self._running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(self._load_s)
        self.weights = version
        self.is_loading = False
        self.write_entry()

    def refusal(self, req: Head) -> int:
        """Return the status with which a request is turned away without running, 0 for none."""
        if req.headers.get("x-target-instance", self.name) != self.name:
            return 421
        expected = req.headers.get("x-expect-version")
        if expected is not None and self.weights and int(expected) != self.weights:
            return 421
        return 503 if self.is_loading else 0

    async def serve_request(self, req: Head, target: str, writer) -> bool:
        attempt = req.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt, "X-Server-Seal": f"{self.name}.{attempt}"}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        status = self.refusal(req)
        if status:
            self.record(f"{self.name} turns {attempt} away: {status}")
            writer.write(encode(status, b"", {**headers, "X-Not-Executed": "1"}))
            await writer.drain()
            return True
        self.runs.append((self.record.now(), attempt, self.weights))
        self.record(f"{self.name} runs {attempt} {target} weights={self.weights} "
                    f"from={req.headers.get('last-event-id', '0')}")
        self._running += 1
        try:
            await self.answer(req, headers, writer)
        finally:
            self._running -= 1
        return True

    async def answer(self, req: Head, headers: dict[str, str], writer) -> None:
        if not self.weights:
            await asyncio.sleep(self.work_s)
            writer.write(encode(200, b"done by " + self.name.encode(), headers))
            await writer.drain()
            return
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        writer.write(
            f"HTTP/1.1 200 OK\r\n{lines}X-Weight-Versions: {self.weights}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(int(req.headers.get("last-event-id", "0")) + 1, self.tokens + 1):
            await asyncio.sleep(self.token_s)
            event = f"id: {number}\ndata: {self.name}/{self.software}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Reply:
    """What a client got: `status` 0 for no connection or an answer that broke off."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False


async def ask(address: str, prefix: str, attempt: str, deadline_s: float,
              headers: dict[str, str] | None = None, body: bytes = b"x" * 600,
              subject: str = "1") -> Reply:
    """Send one request on a new connection and read its answer until the client's deadline."""
    reply = Reply()
    try:
        await asyncio.wait_for(_ask(reply, address, prefix, attempt, deadline_s,
                                    headers or {}, body, subject), deadline_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
        pass
    return reply


async def _ask(reply, address, prefix, attempt, deadline_s, headers, body, subject) -> None:
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        lines = {"Host": HOST, "X-Attempt-Id": attempt, "Authorization": f"Bearer {KEY}",
                 "X-Deadline-Ms": str(int(deadline_s * 1000)), "Content-Length": str(len(body))}
        if prefix in (STREAM_PREFIX, RESUMABLE_PREFIX):
            lines |= {"X-Model": MODEL, "X-Token-Counts": "900,13",
                      "X-Prefix-Hash": f"aa:600,{subject}b:200,{attempt}:100"}
        lines |= headers
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"POST {prefix}{subject} HTTP/1.1\r\n{text}\r\n".encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return
        reply.headers = head[1]
        reply.status = int(head[0].split(" ")[1])
        if "content-length" in reply.headers:
            reply.body = await reader.readexactly(int(reply.headers["content-length"]))
        else:
            while size := int((await reader.readline()).strip() or b"-1", 16):
                if size < 0:
                    return
                reply.body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        reply.is_complete = True
    finally:
        writer.close()


class Router:
    """One process of the deploy file's role, with the settings of one machine."""

    def __init__(self, number: int, store: str, folder: Path, record: Record,
                 zone: str = "riverside", zones: tuple[str, ...] = ("riverside",)) -> None:
        self.ip = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}.{number + 1}"
        self.name = f"front-{zone}-{number}"
        self.front = free_address(self.ip)
        self.ready = free_address(self.ip)
        first = int(free_address(self.ip).rsplit(":", 1)[1])
        self.settings = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.record = record
        self.process: subprocess.Popen | None = None
        self.settings.write_text(json.dumps({
            "node_name": self.name, "role": "entry", "machine_class": "front",
            "serves": ["front"], "ip": self.ip, "zone": zone, "region": "gulf-south",
            "zones": {name: "gulf-south" for name in zones},
            "listen": {"front": self.front, "ready": self.ready},
            "port_range": [first, first + 15], "seeds": [], "bootstrap": True,
            "fault_counted": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 150, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "invariants": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                           "stream", "engine", "tenants", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store, "form": "table", "writes_per_s": 400,
                         "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200,
                         "row_bytes": 65536, "across": False, "history_s": 20,
                         "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0},
        }))

    def start(self) -> None:
        """Start the command of deploy/system.toml, with the environment that the page names."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"RATTANGATE_BOOT": str(self.settings), "PYTHONPATH": str(ROOT / "target/deps"),
                "PYTHONDONTWRITEBYTECODE": "1"}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "rattangate.front"], cwd=ROOT, env=env,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.record(f"{self.name} starts")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self) -> None:
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def is_ready(self) -> bool:
        try:
            host, port = self.ready.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s: float = 15.0) -> None:
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} isn't ready")
            await asyncio.sleep(0.05)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRun(Exception):
    """Report that the case could not run."""


async def _run_main(main, record, trouble, scratch, routers) -> bool:
    try:
        return await asyncio.wait_for(main(record, trouble, scratch, routers), TIME_LIMIT_S)
    finally:
        for router in routers:
            router.kill()


def run_case(main, case_folder: str) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    folder = Path(case_folder).resolve()
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    routers: list[Router] = []
    with tempfile.TemporaryDirectory() as scratch:
        try:
            is_broken = asyncio.run(_run_main(main, record, trouble, Path(scratch), routers))
            status = 1 if is_broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as exc:
            record(f"could not run: {exc!r}")
            status = 2
        finally:
            for router in routers:
                router.kill()
            if os.environ.get("KEEP_LOGS"):
                for router in routers:
                    target = Path(os.environ["KEEP_LOGS"]) / router.log.name
                    target.write_bytes(router.log.read_bytes() if router.log.exists() else b"")
    record(f"exit {status}")
    print(f"exit {status}: {'broken' if status == 1 else 'held' if status == 0 else 'not run'}")
    sys.exit(status)

"""The platform as a process: table service, object store, weight store, KV store, instance list."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from quart import Response, request

from rattangate.standins.web import cut_response, json_response, make_app, run_app

if TYPE_CHECKING:
    from quart_trio import QuartTrio

WEIGHTS_LOAD_S = 1.0
WEIGHTS_CONCURRENT_LOADS = 2
INSTANCE_LIST_LAG_S = 1.0


@dataclass(slots=True)
class PlatformFaults:
    """Hold the faults that a test asks for; rates are operations a second, 0 for no limit."""

    down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    instance_lag_s: float = INSTANCE_LIST_LAG_S


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of the table; versions start at 1 and rise by one with each write."""

    version: int
    value: Any


class RateLimit:
    """Allow a number of operations in each second."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def admit(self, rate: float, now: float) -> bool:
        """Count one operation and tell whether it is within the rate."""
        while self._times and self._times[0] <= now - 1.0:
            self._times.popleft()
        if rate and len(self._times) >= rate:
            return False
        self._times.append(now)
        return True


class Platform:
    """Hold all that the platform keeps."""

    def __init__(self) -> None:
        self.faults = PlatformFaults()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.kv: dict[str, bytes] = {}
        self.instances: deque[tuple[float, dict[str, str]]] = deque([(0.0, {})], maxlen=1000)
        self.writes = RateLimit()
        self.reads = RateLimit()
        self.write_count = 0
        self.read_count = 0
        self.loading = 0

    def transact(self, checks: list[dict[str, Any]], writes: list[dict[str, Any]]) -> list[str]:
        """Apply the writes if all checked versions hold; return the keys that did not hold."""
        failed = [
            check["key"] for check in checks if self._version(check["key"]) != check["version"]
        ]
        if failed:
            return failed
        for write in writes:
            self.rows[write["key"]] = Row(self._version(write["key"]) + 1, write["value"])
        return []

    def row(self, key: str) -> dict[str, Any]:
        """Return a row as it is sent; version 0 stands for a missing row."""
        found = self.rows.get(key)
        if found is None:
            return {"key": key, "version": 0, "value": None}
        return {"key": key, "version": found.version, "value": found.value}

    def listed_instances(self, now: float) -> dict[str, str]:
        """Return the instance list as it was before the lag."""
        listed: dict[str, str] = {}
        for at, states in self.instances:
            if at > now - self.faults.instance_lag_s:
                break
            listed = states
        return listed

    def set_instance(self, name: str, state: str, now: float) -> None:
        """Change the state of one instance or endpoint."""
        _, states = self.instances[-1]
        self.instances.append((now, {**states, name: state}))

    def _version(self, key: str) -> int:
        found = self.rows.get(key)
        return found.version if found is not None else 0


def make_platform_app(platform: Platform) -> QuartTrio:
    """Create the web application of the platform."""
    app = make_app("platform")

    @app.post("/table/get")
    async def get_rows() -> Response:
        keys = msgspec.json.decode(await request.get_data())["keys"]
        if await _meet_faults(platform):
            return cut_response()
        if not platform.reads.admit(platform.faults.reads_per_s, trio.current_time()):
            return json_response({"error": "read rate exceeded"}, 429)
        platform.read_count += 1
        return json_response({"rows": [platform.row(key) for key in keys]})

    @app.get("/table/scan")
    async def scan_rows() -> Response:
        prefix = request.args.get("prefix", "")
        if await _meet_faults(platform):
            return cut_response()
        keys = sorted(key for key in platform.rows if key.startswith(prefix))
        return json_response({"rows": [platform.row(key) for key in keys]})

    @app.post("/table/txn")
    async def transact() -> Response:
        txn = msgspec.json.decode(await request.get_data())
        if await _meet_faults(platform):
            return cut_response()
        if not platform.writes.admit(platform.faults.writes_per_s, trio.current_time()):
            return json_response({"error": "write rate exceeded"}, 429)
        platform.write_count += 1
        failed = platform.transact(txn.get("checks", []), txn["writes"])
        if _loses_reply(platform):
            return cut_response()
        if failed:
            return json_response({"conflicts": [platform.row(key) for key in failed]}, 409)
        return json_response({"rows": [platform.row(write["key"]) for write in txn["writes"]]})

    @app.put("/objects/<path:key>")
    async def put_object(key: str) -> Response:
        body = await request.get_data()
        if await _meet_faults(platform):
            return cut_response()
        if request.headers.get("If-None-Match") == "*" and key in platform.objects:
            return json_response({"error": "object exists"}, 412)
        platform.objects[key] = body
        if _loses_reply(platform):
            return cut_response()
        return json_response({}, 201)

    @app.get("/objects/<path:key>")
    async def get_object(key: str) -> Response:
        if await _meet_faults(platform):
            return cut_response()
        if key not in platform.objects:
            return json_response({"error": "no such object"}, 404)
        return Response(platform.objects[key], content_type="application/octet-stream")

    @app.get("/objects")
    async def list_objects() -> Response:
        if await _meet_faults(platform):
            return cut_response()
        prefix = request.args.get("prefix", "")
        return json_response(
            {"keys": sorted(key for key in platform.objects if key.startswith(prefix))}
        )

    @app.put("/kv/<path:key>")
    async def put_kv(key: str) -> Response:
        platform.kv[key] = await request.get_data()
        return json_response({}, 201)

    @app.get("/kv/<path:key>")
    async def get_kv(key: str) -> Response:
        if key not in platform.kv:
            return json_response({"error": "no such entry"}, 404)
        return Response(platform.kv[key], content_type="application/octet-stream")

    @app.get("/weights/<path:version>")
    async def get_weights(version: str) -> Response:
        platform.loading += 1
        try:
            share = max(1.0, platform.loading / WEIGHTS_CONCURRENT_LOADS)
            await trio.sleep(WEIGHTS_LOAD_S * share)
        finally:
            platform.loading -= 1
        return json_response({"version": version})

    @app.get("/instances")
    async def list_instances() -> Response:
        if await _meet_faults(platform):
            return cut_response()
        return json_response({"instances": platform.listed_instances(trio.current_time())})

    @app.post("/instances")
    async def set_instance() -> Response:
        body = msgspec.json.decode(await request.get_data())
        platform.set_instance(body["name"], body["state"], trio.current_time())
        return json_response({})

    @app.post("/faults")
    async def faults() -> Response:
        for name, value in msgspec.json.decode(await request.get_data()).items():
            setattr(platform.faults, name, value)
        return json_response({})

    @app.get("/stats")
    async def stats() -> Response:
        return json_response({"writes": platform.write_count, "reads": platform.read_count})

    return app


async def run_platform(address: str) -> None:
    """Run the platform until cancelled."""
    await run_app(make_platform_app(Platform()), address)


async def _meet_faults(platform: Platform) -> bool:
    """Delay the operation and tell whether it must be dropped before it takes effect."""
    await trio.sleep(platform.faults.delay_s)
    if platform.faults.lose_requests > 0:
        platform.faults.lose_requests -= 1
        return True
    return platform.faults.down


def _loses_reply(platform: Platform) -> bool:
    if platform.faults.lose_replies <= 0:
        return False
    platform.faults.lose_replies -= 1
    return True

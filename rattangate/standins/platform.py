"""Stand-in of the platform: store of rows and blobs, weights store, KV store and instance list."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import trio
from quart import Response, request

from rattangate.standins.rows_store import RowsStore, monotonic_ms
from rattangate.standins.web import aborted_response, json_response, make_app, run_app
from rattangate.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quart_trio import QuartTrio

WEIGHTS_LOAD_S = 1.0
WEIGHTS_CONCURRENT_LOADS = 2
INSTANCE_LIST_LAG_S = 1.0
INSTANCE_TABLE = "instances"


@dataclass(slots=True)
class PlatformFaults:
    """Hold the injected faults; rates are operations per second, 0 for no limit.

    `down` aborts every response. `refuses` answers 503 without an effect. `lose_requests` and
    `lose_replies` count the next calls that are aborted before and after they take effect.
    `answer` is the body, with status 200, that all calls get, without an effect, unless it is
    empty. `instance_lag_s` delays changes of the instance list.
    """

    down: bool = False
    refuses: bool = False
    answer: str = ""
    delay_s: float = 0.0
    lose_replies: int = 0
    lose_requests: int = 0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    instance_lag_s: float = INSTANCE_LIST_LAG_S


class RateLimit:
    """Limit the operations in a sliding window of one second."""

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def admit(self, rate: float, now: float) -> bool:
        """Count an operation if it is within the rate, and return whether it is; 0 admits all."""
        while self._times and self._times[0] <= now - 1.0:
            self._times.popleft()
        if rate and len(self._times) >= rate:
            return False
        self._times.append(now)
        return True


class Platform:
    """Hold the state of the platform."""

    def __init__(self, store: RowsStore | None = None) -> None:
        self.faults = PlatformFaults()
        self.store = RowsStore() if store is None else store
        self.kv: dict[str, bytes] = {}
        self.writes = RateLimit()
        self.reads = RateLimit()
        self.write_count = 0
        self.read_count = 0
        self.active_loads = 0

    def admit_read(self) -> bool:
        """Count a read and return whether it is within the rate limit."""
        self.read_count += 1
        return self.reads.admit(self.faults.reads_per_s, trio.current_time())

    def admit_write(self) -> bool:
        """Count a write and return whether it is within the rate limit."""
        self.write_count += 1
        return self.writes.admit(self.faults.writes_per_s, trio.current_time())


def make_platform_app(platform: Platform) -> QuartTrio:
    """Create the web application of the platform."""
    app = make_app("platform")

    @app.after_request
    async def add_era(resp: Response) -> Response:
        resp.headers["Store-Era"] = str(platform.store.era)
        return resp

    _add_rows(app, platform)
    _add_blobs(app, platform)
    _add_kv(app, platform)
    _add_weights(app, platform)
    _add_test_controls(app, platform)
    return app


async def run_platform(address: str, platform: Platform | None = None) -> None:
    """Run the platform until cancelled."""
    await run_app(make_platform_app(platform or Platform()), address)


def _add_rows(app: QuartTrio, platform: Platform) -> None:
    store = platform.store

    @app.get("/rows-get")
    async def get_rows() -> Response:
        args = request.args

        async def read() -> Response:
            rows = store.read(args["table"], args.get("from", ""), args.get("to", ""))
            return json_response(rows)

        return await _serve_read(platform, read)

    @app.get("/rows-feed")
    async def feed_rows() -> Response:
        args = request.args

        async def read() -> Response:
            wait_s = int(args["wait_ms"]) / MS_PER_S
            changes = await store.feed(args["table"], int(args["after"]), wait_s)
            return json_response({}, 410) if changes is None else json_response(changes)

        return await _serve_read(platform, read)

    @app.post("/rows-tx")
    async def transact() -> Response:
        body = msgspec.json.decode(await request.get_data())

        def write() -> Response:
            conflicts = store.transact(body)
            if conflicts is not None:
                return json_response({"rows": conflicts}, 412)
            return json_response({"ver": store.version, "now_ms": monotonic_ms()})

        return await _serve_write(platform, write)


def _add_blobs(app: QuartTrio, platform: Platform) -> None:
    blobs = platform.store.blobs

    @app.put("/blob-put/<path:name>")
    async def put_blob(name: str) -> Response:
        body = bytes(await request.get_data())
        is_new_only = request.headers.get("If-None-Match") == "*"

        def write() -> Response:
            if is_new_only and name in blobs:
                return json_response({}, 412)
            blobs[name] = body
            return json_response({})

        return await _serve_write(platform, write)

    @app.get("/blob-get/<path:name>")
    async def get_blob(name: str) -> Response:
        async def read() -> Response:
            if name not in blobs:
                return json_response({}, 404)
            return Response(blobs[name], content_type="application/octet-stream")

        return await _serve_read(platform, read)

    @app.get("/blob-list")
    async def list_blobs() -> Response:
        prefix = request.args.get("path_prefix", "")

        async def read() -> Response:
            names = sorted(name for name in blobs if name.startswith(prefix))
            return json_response({"names": names, "has_more": False})

        return await _serve_read(platform, read)


def _add_kv(app: QuartTrio, platform: Platform) -> None:
    @app.put("/kv/<path:key>")
    async def put_kv(key: str) -> Response:
        platform.kv[key] = bytes(await request.get_data())
        return json_response({}, 201)

    @app.get("/kv/<path:key>")
    async def get_kv(key: str) -> Response:
        if key not in platform.kv:
            return json_response({"error": "no such entry"}, 404)
        return Response(platform.kv[key], content_type="application/octet-stream")


def _add_weights(app: QuartTrio, platform: Platform) -> None:
    @app.get("/weights/<path:version>")
    async def get_weights(version: str) -> Response:
        platform.active_loads += 1
        try:
            slowdown = max(1.0, platform.active_loads / WEIGHTS_CONCURRENT_LOADS)
            await trio.sleep(WEIGHTS_LOAD_S * slowdown)
        finally:
            platform.active_loads -= 1
        return json_response({"version": version})


def _add_test_controls(app: QuartTrio, platform: Platform) -> None:
    @app.post("/instances")
    async def set_instance() -> Response:
        body = msgspec.json.decode(await request.get_data())
        app.add_background_task(_set_instance_after_lag, platform, body["name"], body["state"])
        return json_response({})

    @app.post("/faults")
    async def faults() -> Response:
        for name, value in msgspec.json.decode(await request.get_data()).items():
            setattr(platform.faults, name, value)
        return json_response({})

    @app.get("/stats")
    async def stats() -> Response:
        return json_response({"writes": platform.write_count, "reads": platform.read_count})


async def _set_instance_after_lag(platform: Platform, name: str, state: str) -> None:
    await trio.sleep(platform.faults.instance_lag_s)
    platform.store.put(INSTANCE_TABLE, name, state.encode())


async def _serve_read(platform: Platform, read: Callable[[], Awaitable[Response]]) -> Response:
    fault = await _apply_faults(platform)
    if fault is not None:
        return fault
    if not platform.admit_read():
        return json_response({}, 429)
    return await read()


async def _serve_write(platform: Platform, write: Callable[[], Response]) -> Response:
    fault = await _apply_faults(platform)
    if fault is not None:
        return fault
    if not platform.admit_write():
        return json_response({}, 429)
    answer = write()
    if platform.faults.lose_replies > 0:
        platform.faults.lose_replies -= 1
        return aborted_response()
    return answer


async def _apply_faults(platform: Platform) -> Response | None:
    """Delay the call and return the response of a fault that stops it, or None."""
    faults = platform.faults
    await trio.sleep(faults.delay_s)
    if faults.refuses:
        return json_response({}, 503)
    if faults.answer:
        return Response(faults.answer, content_type="application/json")
    if faults.lose_requests > 0:
        faults.lose_requests -= 1
        return aborted_response()
    return aborted_response() if faults.down else None

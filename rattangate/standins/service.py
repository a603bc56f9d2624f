"""Stand-in of a service that records each execution of a request."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
import trio
from quart import Response, request

from rattangate.standins.web import aborted_response, json_response, make_app, run_app

if TYPE_CHECKING:
    from quart_trio import QuartTrio


@dataclass(slots=True)
class ServiceFaults:
    """Hold the injected faults.

    `cut_before_run` and `cut_after_run` abort the response before and after the request runs;
    `refuse` answers 503 without running it.
    """

    run_s: float = 0.0
    answer_delay_s: float = 0.0
    cut_before_run: bool = False
    cut_after_run: bool = False
    refuse: bool = False


class Service:
    """Hold the state of a service that executes every delivery of a request, repeats included."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = ServiceFaults()
        self.incarnation = time.time_ns() // 1_000_000
        self.state = "live"
        self.running = 0
        self.ledger: list[dict[str, Any]] = []


def make_service_app(service: Service) -> QuartTrio:
    """Create the web application of a service."""
    app = make_app("service")

    @app.get("/load")
    async def load() -> Response:
        return json_response(
            {
                "incarnation": service.incarnation,
                "weights_version": "",
                "model": service.name,
                "state": service.state,
                "running": service.running,
                "waiting": 0,
                "waiting_tokens": 0,
                "age_s": 0.0,
            }
        )

    @app.get("/ledger")
    async def ledger() -> Response:
        return json_response({"runs": service.ledger})

    @app.post("/orders")
    async def orders() -> Response:
        order = msgspec.json.decode(await request.get_data())
        if order.get("order") == "drain":
            service.state = "leaving"
        return json_response({"state": service.state})

    @app.post("/faults")
    async def faults() -> Response:
        for name, value in msgspec.json.decode(await request.get_data()).items():
            setattr(service.faults, name, value)
        return json_response({})

    @app.route("/<path:path>", methods=["GET", "POST", "PUT", "DELETE"])
    async def run(path: str) -> Response:
        return await _execute(service, path)

    return app


async def run_service(address: str, name: str) -> None:
    """Run a service until cancelled."""
    service = Service(name)
    await run_app(make_service_app(service), address)


async def _execute(service: Service, path: str) -> Response:
    body = await request.get_data()
    faults = service.faults
    if faults.refuse or service.state == "leaving":
        return json_response({"error": "refused", "not_run": True}, 503)
    if faults.cut_before_run:
        return aborted_response()
    service.running += 1
    try:
        await trio.sleep(faults.run_s)
        number = len(service.ledger) + 1
        service.ledger.append(
            {
                "number": number,
                "method": request.method,
                "path": path,
                "key": request.headers.get("Idempotency-Key", ""),
                "workspace": request.headers.get("X-Workspace", ""),
                "body": body.decode(errors="replace"),
            }
        )
        if faults.cut_after_run:
            return aborted_response()
        await trio.sleep(faults.answer_delay_s)
    finally:
        service.running -= 1
    return json_response(
        {
            "service": service.name,
            "run": number,
            "path": path,
            "body": body.decode(errors="replace"),
        }
    )

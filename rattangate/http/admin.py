"""The administration API: life signs, metrics, instances and endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quart import Response, request
from quart_trio import QuartTrio

from rattangate.errors import ErrorKind, Failure
from rattangate.http.answers import error_response, json_response
from rattangate.metrics import CONTENT_TYPE

if TYPE_CHECKING:
    from rattangate.entry import Entry


def make_admin_app(entry: Entry) -> QuartTrio:
    """Create the application that operators reach."""
    app = QuartTrio("rattangate-admin")

    @app.get("/livez")
    async def live() -> Response:
        return json_response({"live": True})

    @app.get("/readyz")
    async def ready() -> Response:
        return json_response({"ready": entry.ready}, 200 if entry.ready else 503)

    @app.get("/metrics")
    async def metrics() -> Response:
        return Response(entry.metrics.render(), content_type=CONTENT_TYPE)

    @app.get("/v1/instances")
    async def instances() -> Response:
        return _authorized(entry) or json_response({"instances": entry.describe_instances()})

    @app.get("/v1/endpoints")
    async def endpoints() -> Response:
        return _authorized(entry) or json_response({"endpoints": entry.describe_endpoints()})

    return app


def _authorized(entry: Entry) -> Response | None:
    if entry.keyring.admin_key(request.headers.get("Authorization", "")) is not None:
        return None
    return error_response(Failure(ErrorKind.UNAUTHENTICATED), "")

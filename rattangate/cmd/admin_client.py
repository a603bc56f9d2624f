"""A client of the administration API for the commands."""

from __future__ import annotations

import os
from typing import Any, NoReturn

import httpx
import typer

from rattangate.cmd.output import print_line
from rattangate.config.load import load_settings
from rattangate.exit_codes import ExitCode

ADMIN_KEY_VARIABLE = "RATTANGATE_ADMIN_KEY"
CALL_TIMEOUT_S = 5.0


class AdminClient:
    """Call the first entry instance of a deployment that accepts a connection."""

    def __init__(self, config: Any) -> None:
        settings = load_settings(config)
        self._addresses = [instance.admin_address for instance in settings.instances]
        self._headers = {"Authorization": f"Bearer {os.environ.get(ADMIN_KEY_VARIABLE, '')}"}

    def edit(self, method: str, path: str, reason: str, body: object = None) -> int:
        """Make an edit based on the version in force and return the number of the new version."""
        etag = self.call("GET", "/v1/config").headers["ETag"]
        headers = {"If-Match": etag, "Change-Reason": reason}
        version: int = self.call(method, path, headers, body).json()["version"]
        return version

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: object = None,
    ) -> httpx.Response:
        """Call the API; print a message and exit if no instance answers or the call is refused."""
        for address in self._addresses:
            try:
                resp = httpx.request(
                    method,
                    f"http://{address}{path}",
                    headers={**self._headers, **(headers or {})},
                    json=body,
                    timeout=CALL_TIMEOUT_S,
                    trust_env=False,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as exc:
                _exit_with(
                    ExitCode.UNAVAILABLE, f"{address} returned no complete response: {exc!r}"
                )
            if resp.is_success:
                return resp
            _exit_with(ExitCode.FAILED, _describe_refusal(resp))
        return _exit_with(
            ExitCode.UNAVAILABLE, f"no instance answers at {', '.join(self._addresses)}"
        )


def _describe_refusal(resp: httpx.Response) -> str:
    error = resp.json().get("error", {})
    if resp.status_code == httpx.codes.UNAUTHORIZED:
        return f"the key is unknown; set {ADMIN_KEY_VARIABLE} to an administration key"
    return f"refused: {error.get('message', resp.status_code)} {error.get('detail', '')}".strip()


def _exit_with(code: ExitCode, text: str) -> NoReturn:
    print_line(text)
    raise typer.Exit(code)

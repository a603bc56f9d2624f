"""What the HTTP clients for the platform share: answers of bounded size and time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import trio

from rattangate.turns import TurnGiver

if TYPE_CHECKING:
    import httpx


class AnswerTooLong(Exception):  # noqa: N818
    """Report an answer that exceeds the size limit."""


@dataclass(frozen=True, slots=True)
class BoundedAnswer:
    """Hold a complete answer."""

    status: int
    headers: httpx.Headers
    body: bytes


async def send_bounded(
    client: httpx.AsyncClient, req: httpx.Request, timeout_s: float, max_bytes: int
) -> BoundedAnswer:
    """Send a request and read its whole answer within `timeout_s` seconds.

    Raise AnswerTooLong above `max_bytes`, TooSlowError if it takes too long, and HTTPError.
    """
    with trio.fail_after(timeout_s):
        resp = await client.send(req, stream=True)
        try:
            body = await read_bounded(resp, max_bytes)
        finally:
            await resp.aclose()
    return BoundedAnswer(resp.status_code, resp.headers, body)


async def read_bounded(resp: httpx.Response, max_bytes: int) -> bytes:
    """Read the body of an answer; raise AnswerTooLong above `max_bytes`, and HTTPError."""
    body = bytearray()
    turn_giver = TurnGiver()
    async for data in resp.aiter_raw():
        await turn_giver.count_item()
        body += data
        if len(body) > max_bytes:
            raise AnswerTooLong(f"answer is longer than {max_bytes} bytes")
    return bytes(body)

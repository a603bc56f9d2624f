"""A caller's numbers that are out of range cost that request alone."""

from __future__ import annotations

import pytest
import trio

from tests.front.cut_links import running_pair
from tests.front.deployment import RESUMABLE_PATH, STREAM_PATH

HUGE = "9" * 18
ODD_HEADERS = {
    "prompt tokens beyond 64 bits": ("X_Token_Counts", f"{HUGE}{HUGE},20"),
    "output tokens beyond 64 bits": ("X_Token_Counts", f"900,{HUGE}{HUGE}"),
    "output tokens beyond 32 bits": ("X_Token_Counts", "900,3000000000"),
    "negative prompt tokens": ("X_Token_Counts", "-900,20"),
    "negative output tokens": ("X_Token_Counts", "900,-20"),
    "a part of too many tokens": ("X_Prefix_Hash", f"aa:{HUGE}"),
    "parts of too many tokens": ("X_Prefix_Hash", ",".join(["aa:999999"] * 300)),
    "a part of negative tokens": ("X_Prefix_Hash", "aa:-600,bb:300"),
    "numbers of too many digits": ("X_Token_Counts", "9" * 5_000),
}


@pytest.mark.parametrize("path", [STREAM_PATH, RESUMABLE_PATH])
@pytest.mark.parametrize(("name", "value"), ODD_HEADERS.values(), ids=ODD_HEADERS)
def test_a_number_that_is_out_of_range_costs_that_request_alone(name, value, path, monkeypatch):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            resp = await deployment.request(path, **{name: value})
            assert resp.status_code == 400
            # Longer than the interval between updates to peers.
            await trio.sleep(0.3)
            assert [app._peers.count for app in (deployment.app, links.other_app)] == [1, 1]
            assert (await deployment.request(path, X_Attempt_Id="after")).status_code == 200
            assert len(deployment.calls()) == 1

    trio.run(main)

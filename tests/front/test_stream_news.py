"""News of streams reach instances that started later, or whose connection lost some."""

from __future__ import annotations

import trio

from rattangate.core import peer_view
from tests.front.cut_links import running_pair, running_second
from tests.front.deployment import RESUMABLE_PATH, event, running_deployment, wait_until

RESUMED = {"X_Attempt_Id": "b1", "Resumes": "a1", "Last_Event_Id": "2"}


def test_an_instance_that_started_after_a_stream_began_lets_it_go_on():
    async def main() -> None:
        async with running_deployment() as deployment:
            await deployment.request(RESUMABLE_PATH)
            async with running_second(deployment) as second:
                resp = await second.request(RESUMABLE_PATH, **RESUMED)
                assert resp.content == event(3)

    trio.run(main)


def test_an_instance_that_missed_the_news_of_a_stream_gets_them_when_its_peer_connects_again(
    monkeypatch,
):
    async def main() -> None:
        async with running_pair(monkeypatch) as (deployment, links):
            told = links.other_app
            sender = deployment.app._peers
            monkeypatch.setattr(sender._links, "send_frames", lambda *frames: None)
            await deployment.request(RESUMABLE_PATH)
            await trio.sleep(0.3)
            versions = told.state.driver.gateway.stream_versions
            assert not versions._streams
            monkeypatch.undo()
            addresses = {"entry-1": f"{told.boot.ip}:{told.boot.first_free_port}"}
            sender._links.set_peers({})
            sender._links.set_peers(addresses)
            await wait_until(lambda: versions._streams, 3.0)

    trio.run(main)


# Guards against LOST: news of streams go to a killed relay alone until it has been silent for long.
def test_news_of_streams_cross_data_centres_at_once_after_the_relay_was_killed(monkeypatch):
    # No silence counts as a loss, so that nothing but the closed connections tells of the kill.
    monkeypatch.setattr(peer_view, "LOST_AFTER_S", 60.0)

    async def main() -> None:
        async with (
            running_deployment() as deployment,
            running_second(deployment, instance="entry-2", data_centre="uptown") as relay,
            running_second(
                deployment, instance="entry-3", data_centre="uptown", others=[relay.app]
            ) as follower,
        ):
            assert follower.app._peers._view.relay == "entry-2"
            versions = deployment.app.state.driver.gateway.stream_versions
            relay.kill()
            await follower.request(RESUMABLE_PATH)
            await wait_until(lambda: versions._streams)

    trio.run(main)


def test_an_instance_that_started_after_a_crashed_run_learns_of_it():
    async def main() -> None:
        async with running_deployment() as deployment:
            now = trio.current_time()
            first = deployment.app.state.driver.gateway.scheduler.suspects.quarantine
            first.record_failure(b"digest", ("llm-0", 1), 0.1, now)
            await trio.sleep(4.0)
            async with running_second(deployment) as second:
                learned = second.app.state.driver.gateway.scheduler.suspects.quarantine
                await wait_until(lambda: learned.known_suspicions(trio.current_time()), 3.0)

    trio.run(main)

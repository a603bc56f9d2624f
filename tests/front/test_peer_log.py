"""Changes of many peers at once write one line, not one for each peer at each instance."""

from __future__ import annotations

import pytest

from rattangate.front import peer_log
from rattangate.front.peer_log import MAX_SINGLE_LINES, FoundInstance, LostInstance, PeerLog
from rattangate.log_events import LogEvent


@pytest.fixture
def lines(monkeypatch):
    """Collect the events that are logged, with their fields."""
    logged = []
    monkeypatch.setattr(peer_log, "log", lambda event, **fields: logged.append((event, fields)))
    return logged


def test_few_changes_have_a_line_each(lines):
    log = PeerLog()
    log.record_found(FoundInstance("a", 1, "dc"))
    log.record_lost(LostInstance("b", 1, 2100, None))
    log.flush(1)
    assert [event for event, _ in lines] == [LogEvent.PEER_FOUND, LogEvent.PEER_LOST]
    log.flush(1)
    assert len(lines) == 2


def test_the_loss_of_a_data_centre_is_one_line(lines):
    log = PeerLog()
    for number in range(39):
        log.record_lost(LostInstance(f"b-{number:02}", 1, 2100, 3000))
    log.flush(156)
    ((event, fields),) = lines
    assert event is LogEvent.PEERS_LOST
    assert (fields["count"], fields["live"]) == (39, 156)
    assert fields["first"].count("b-") == MAX_SINGLE_LINES

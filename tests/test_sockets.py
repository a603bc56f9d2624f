"""The times after which connections to silent peers are closed."""

from __future__ import annotations

import math
import socket

import trio

from rattangate.sockets import set_socket_options
from rattangate.units import MS_PER_S

# A sound endpoint may fall silent for so long.
SHORT_SILENCE_S = 1.5
# The platform's bound until which a lost link must have been noticed.
CONTACT_S = 3.0


def _option(name: int, level: int = socket.IPPROTO_TCP) -> int:
    async def main() -> int:
        with trio.socket.socket() as sock:
            set_socket_options(sock)
            return sock.getsockopt(level, name)

    return trio.run(main)


def test_sent_data_may_stay_unacknowledged_for_a_short_silence():
    user_timeout_s = _option(socket.TCP_USER_TIMEOUT) / MS_PER_S
    assert SHORT_SILENCE_S < user_timeout_s < CONTACT_S


def test_an_idle_connection_outlives_a_short_silence_and_not_a_lost_link():
    assert _option(socket.SO_KEEPALIVE, socket.SOL_SOCKET) == 1
    idle_s, interval_s = _option(socket.TCP_KEEPIDLE), _option(socket.TCP_KEEPINTVL)
    user_timeout_s = _option(socket.TCP_USER_TIMEOUT) / MS_PER_S
    # The user timeout is checked when a probe is due, once one is unanswered.
    probes = max(1, math.ceil((user_timeout_s - idle_s) / interval_s))
    closed_after_s = idle_s + probes * interval_s
    assert SHORT_SILENCE_S < closed_after_s <= CONTACT_S

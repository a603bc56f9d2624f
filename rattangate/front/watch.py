"""The tasks that follow the operator's entries and the list of endpoints in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from rattangate.front.state import boot_time
from rattangate.log_events import LogEvent, log
from rattangate.platform.operator import (
    CONFIG_KEY,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    VERSION_PREFIX,
    decode_config,
    decode_endpoint,
    decode_named_version,
)
from rattangate.platform.outcomes import HistoryLost, StoreRows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattangate.front.state import FrontState
    from rattangate.platform.outcomes import StoreRow, Unavailable
    from rattangate.platform.store import Store

OPERATOR_WAIT_S = 1.5
LIST_INTERVAL_S = 0.8
RETRY_S = 0.2


class OperatorWatch:
    """Follow the configuration and the named weights versions."""

    def __init__(self, store: Store, state: FrontState) -> None:
        self._store = store
        self._state = state
        self._version: int | None = None

    async def run(self) -> None:
        """Read all entries once, then wait for changes, until cancelled."""
        while True:
            asked_at = boot_time()
            outcome = await self._ask()
            if isinstance(outcome, StoreRows):
                self._take(outcome.rows)
                self._version = outcome.version
                self._state.keys.renew(asked_at)
            elif isinstance(outcome, HistoryLost):
                log(LogEvent.HISTORY_LOST, table=OPERATOR_TABLE, version=self._version)
                self._version = None
            else:
                await trio.sleep(RETRY_S)

    async def _ask(self) -> StoreRows | HistoryLost | Unavailable:
        if self._version is None:
            return await self._store.read_table(OPERATOR_TABLE)
        return await self._store.watch_table(OPERATOR_TABLE, self._version, OPERATOR_WAIT_S)

    def _take(self, rows: Iterable[StoreRow]) -> None:
        for row in rows:
            if row.value is None:
                continue
            try:
                self._take_value(row.key, row.value)
            except (msgspec.DecodeError, ValueError) as exc:
                log(LogEvent.ENTRY_MALFORMED, table=OPERATOR_TABLE, row=row.key, error=str(exc))

    def _take_value(self, key: str, value: bytes) -> None:
        if key == CONFIG_KEY:
            self._state.take_config(decode_config(value))
        elif key.startswith(VERSION_PREFIX):
            self._state.take_named_version(decode_named_version(value))


class EndpointWatch:
    """Read the list of endpoints at intervals."""

    def __init__(self, store: Store, state: FrontState) -> None:
        self._store = store
        self._state = state
        self._malformed: set[str] = set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            asked_at = trio.current_time()
            outcome = await self._store.read_table(ENDPOINT_TABLE)
            if isinstance(outcome, StoreRows):
                self._take(outcome.rows, asked_at)
                await trio.sleep(LIST_INTERVAL_S)
            else:
                await trio.sleep(RETRY_S)

    def _take(self, rows: Iterable[StoreRow], asked_at: float) -> None:
        listed = []
        for row in rows:
            if row.value is None:
                continue
            entry = decode_endpoint(row.key, row.value)
            if entry is not None:
                listed.append(entry)
            elif row.key not in self._malformed:
                self._malformed.add(row.key)
                log(
                    LogEvent.ENTRY_MALFORMED,
                    table=ENDPOINT_TABLE,
                    row=row.key,
                    error="not an endpoint's entry",
                )
        self._state.take_list(listed, asked_at)

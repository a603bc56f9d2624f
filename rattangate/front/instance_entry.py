"""The row in which an entry instance describes itself to the others."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from rattangate.json_decoding import decode_json
from rattangate.log_events import LogEvent, log
from rattangate.value_checks import UInt63, is_address

if TYPE_CHECKING:
    from rattangate.platform.outcomes import StoreRow

INSTANCE_TABLE = "rattangate-instances"
INSTANCE_ROW_PREFIX = "instance/"


class InstanceEntry(msgspec.Struct, frozen=True):
    """Hold one instance's row in the store."""

    address: str
    data_centre: str
    incarnation: UInt63
    cores: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    serves_tunnels: bool = False
    is_leaving: bool = False


def decode_instance_entry(row: StoreRow) -> InstanceEntry | None:
    """Decode a row, which may come from any writer; log one that cannot be used."""
    try:
        entry = decode_json(row.value or b"", InstanceEntry)
    except msgspec.DecodeError as exc:
        _log_malformed(row, str(exc))
        return None
    if not is_address(entry.address):
        _log_malformed(row, "the address is not an IPv4 address with a port")
        return None
    return entry


def _log_malformed(row: StoreRow, error: str) -> None:
    log(LogEvent.ENTRY_MALFORMED, table=INSTANCE_TABLE, row=row.key, error=error)

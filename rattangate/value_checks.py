"""Checks of values that others write: they must fit into messages between instances and sockets."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

MAX_INT64 = 2**63 - 1
MAX_PORT = 65_535

Int32 = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
UInt63 = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT64)]


def is_address(address: str) -> bool:
    """Tell whether a text is an IPv4 address with a port that can be connected to."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return 1 <= int(port) <= MAX_PORT

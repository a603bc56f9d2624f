"""Checks the head of an answer, before a parser that admits more reads it.

The parser takes a line that begins with a blank for the rest of the line before it, so that a field
that ends the body could be lost; it also admits control characters and any status from 200 on.
"""

from __future__ import annotations

import re

_HEAD_END = re.compile(rb"\n\r?\n")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb")?")
_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT)


def find_head_end(data: bytes | bytearray) -> int | None:
    """Return the number of bytes of the head that the data begin with, None if it is incomplete."""
    found = _HEAD_END.search(data)
    return None if found is None else found.end()


def find_head_fault(data: bytes | bytearray) -> str | None:
    """Return what is wrong with the head that the data begin with, as far as it has arrived."""
    found = _HEAD_END.search(data)
    end = data.rfind(b"\n") if found is None else found.start()
    if end < 0:
        return None
    first, *fields = (line.removesuffix(b"\r") for line in bytes(data[:end]).split(b"\n"))
    if not _STATUS_LINE.fullmatch(first):
        return "malformed status line"
    if not all(_FIELD.fullmatch(field) for field in fields):
        return "malformed header line"
    return None

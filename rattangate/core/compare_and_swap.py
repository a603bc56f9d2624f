"""Outcomes of a compare-and-swap on the platform's store."""

from __future__ import annotations

from enum import Enum


class CompareAndSwapResult(Enum):
    """Name the outcomes of a compare-and-swap.

    After UNKNOWN, the write may have been applied or may still be applied later.
    """

    APPLIED = "applied"
    CONFLICT = "conflict"
    NOT_SENT = "unsent"
    UNKNOWN = "unknown"

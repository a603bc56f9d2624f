"""Versions of the store's rows, ordered over its returns from older copies.

The store counts its versions anew from the copy's, so a number alone may stand for two states. A
version therefore has the store's era as its leading part: any of a later era is above any of an
earlier one, and equal ones stand for the same state.
"""

from __future__ import annotations

NUMBER_BITS = 40
ERA_BITS = 23
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_ERA = (1 << ERA_BITS) - 1
# Fencing numbers that are given out in one era.
FENCE_BITS = 32


def make_version(era: int, number: int) -> int:
    """Join the era of the store and the number that it gave a version."""
    return (era << NUMBER_BITS) | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number of a version within its era, 0 for a missing row."""
    return version & MAX_NUMBER


def lowest_fence(era: int) -> int:
    """Return a number below all fencing numbers of an era and above those of earlier ones."""
    return era << FENCE_BITS

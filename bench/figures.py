"""Benchmark results with their unit, bound and verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class BoundKind(Enum):
    """Distinguish lower from upper bounds."""

    AT_LEAST = ">="
    AT_MOST = "<="


@dataclass(frozen=True, slots=True)
class Measurement:
    """Hold one measured value with its bound."""

    name: str
    value: float
    unit: str
    bound: float
    bound_kind: BoundKind = BoundKind.AT_LEAST

    @property
    def is_met(self) -> bool:
        """Return whether the value is within its bound."""
        if self.bound_kind is BoundKind.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound

    @property
    def verdict(self) -> str:
        """Return whether the value is within its bound, as text."""
        return "kept" if self.is_met else "MISSED"

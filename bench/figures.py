"""The figures of the benches: value, unit, bound and verdict."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Bound(Enum):
    """Name the side on which a figure must stay of its bound."""

    AT_LEAST = ">="
    AT_MOST = "<="


@dataclass(frozen=True, slots=True)
class Figure:
    """Hold one figure with its bound."""

    name: str
    value: float
    unit: str
    bound: float
    side: Bound = Bound.AT_LEAST

    @property
    def is_kept(self) -> bool:
        """Tell whether the figure keeps its bound."""
        if self.side is Bound.AT_MOST:
            return self.value <= self.bound
        return self.value >= self.bound

    @property
    def verdict(self) -> str:
        """Say whether the figure keeps its bound."""
        return "kept" if self.is_kept else "MISSED"

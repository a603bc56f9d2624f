"""Runs the benches and prints their figures as one table, also to bench/latest.json."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from bench import path

if TYPE_CHECKING:
    from bench.figures import Figure

LATEST = Path(__file__).parent / "latest.json"


def main() -> int:
    """Measure, print and write all figures; return 1 when a bound is missed."""
    figures = path.measure()
    print("| figure | value | unit | bound | verdict |\n|---|---|---|---|---|")
    for one in figures:
        print(
            f"| {one.name} | {one.value:.4g} | {one.unit} | {one.side.value} {one.bound:g} | {one.verdict} |"
        )
    LATEST.write_bytes(msgspec.json.format(msgspec.json.encode([_row(one) for one in figures])))
    return 0 if all(one.is_kept for one in figures) else 1


def _row(one: Figure) -> dict[str, object]:
    return {
        "name": one.name,
        "value": one.value,
        "unit": one.unit,
        "bound": f"{one.side.value} {one.bound:g}",
        "verdict": one.verdict,
    }


if __name__ == "__main__":
    sys.exit(main())

"""Run the path benchmark, print its results as a table and write them to bench/latest.json."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from bench import path

if TYPE_CHECKING:
    from bench.figures import Measurement

LATEST = Path(__file__).parent / "latest.json"


def main() -> int:
    """Measure, print and write all results; return 1 if a value is out of its bound."""
    results = path.measure()
    print("| figure | value | unit | bound | verdict |\n|---|---|---|---|---|")
    for row in results:
        print(
            f"| {row.name} | {row.value:.4g} | {row.unit}"
            f" | {row.bound_kind.value} {row.bound:g} | {row.verdict} |"
        )
    LATEST.write_bytes(msgspec.json.format(msgspec.json.encode([_row(row) for row in results])))
    return 0 if all(row.is_met for row in results) else 1


def _row(row: Measurement) -> dict[str, object]:
    return {
        "name": row.name,
        "value": row.value,
        "unit": row.unit,
        "bound": f"{row.bound_kind.value} {row.bound:g}",
        "verdict": row.verdict,
    }


if __name__ == "__main__":
    sys.exit(main())

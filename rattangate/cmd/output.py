"""Print results as text and tables for people or as JSON for scripts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rattangate.config.diagnostics import Diagnostic


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False))


def print_line(text: str) -> None:
    """Print a line of text without interpreting markup or wrapping it."""
    _make_console().print(text, markup=False, highlight=False, soft_wrap=True)


def print_table(columns: Sequence[str], rows: Iterable[Sequence[Any]], title: str = "") -> None:
    """Print rows as a table."""
    table = Table(title=title or None, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(_to_cell(value) for value in row))
    _make_console().print(table, markup=False)


def print_faults(faults: Iterable[Diagnostic], as_json: bool) -> None:
    """Print the faults found in settings."""
    if as_json:
        print_json({"faults": [_fault_as_dict(fault) for fault in faults]})
        return
    for fault in faults:
        print_line(str(fault))


def _fault_as_dict(fault: Diagnostic) -> dict[str, Any]:
    return {
        "file": fault.file,
        "line": fault.line,
        "key": fault.key,
        "problem": fault.problem,
        "mend": fault.hint,
    }


def _to_cell(value: Any) -> Any:
    return Text("" if value is None else str(value))


def _make_console() -> Console:
    return Console()

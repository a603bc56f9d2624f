"""Diagnostics of invalid settings, each with its location and a hint how to fix it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Mark:
    """Locate a line of a file; `line` starts at 1."""

    file: str
    line: int


@dataclass(frozen=True, order=True, slots=True)
class Diagnostic:
    """Describe one invalid setting and, in `hint`, how to fix it.

    The texts never contain the value of a secret.
    """

    file: str
    line: int
    key: str
    problem: str
    hint: str

    def __str__(self) -> str:
        """Format the diagnostic as one line of text."""
        return f"{self.file}:{self.line}: {self.key or 'file'}: {self.problem}; {self.hint}"


class ConfigError(Exception):
    """Signal invalid settings, with all diagnostics."""

    def __init__(self, diagnostics: tuple[Diagnostic, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in diagnostics))
        self.diagnostics = diagnostics


def make_diagnostic(mark: Mark, key: str, problem: str, hint: str) -> Diagnostic:
    """Return a diagnostic for the line of a mark."""
    return Diagnostic(mark.file, mark.line, key, problem, hint)

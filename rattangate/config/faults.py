"""The faults that are found in settings, with the place and the mend of each."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Mark:
    """Point at a line, counted from 1, of a file."""

    file: str
    line: int


@dataclass(frozen=True, order=True, slots=True)
class Fault:
    """Describe one fault; `problem` and `mend` never repeat a secret."""

    file: str
    line: int
    key: str
    problem: str
    mend: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return f"{self.file}:{self.line}: {self.key or 'file'}: {self.problem}; {self.mend}"


class ConfigError(Exception):
    """Carry all faults that were found in the settings."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


def make_fault(mark: Mark, key: str, problem: str, mend: str) -> Fault:
    """Return a fault at a mark."""
    return Fault(mark.file, mark.line, key, problem, mend)

"""The exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Name the exit codes that all commands share."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFIG_INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    DIFFERENT = 6
    OUTCOME_UNKNOWN = 7

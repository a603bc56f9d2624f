"""Runs the command line with `python -m rattangate`."""

from __future__ import annotations

from rattangate.cmd.main import app

app()

"""Runs the command line."""

from __future__ import annotations

from rattangate.cmd.main import app

app()

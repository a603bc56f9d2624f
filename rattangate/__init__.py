"""Routes language-model traffic with long shared prompts."""

from __future__ import annotations

__version__ = "0.1.0"

"""Tests package."""

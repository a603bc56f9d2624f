"""Bench policy package."""

"""Bench package."""

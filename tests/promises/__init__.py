"""Promises package."""

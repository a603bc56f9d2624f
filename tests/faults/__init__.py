"""Faults package."""

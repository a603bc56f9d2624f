"""Standins package."""

"""Decisions without I/O: routing, limits, retries, membership, state, recovery."""

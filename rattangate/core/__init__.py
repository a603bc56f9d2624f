"""Decisions without input or output: routing, limits, retries, membership, state, recovery."""

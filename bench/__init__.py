"""Benchmarks, simulations and soak tests of the router."""

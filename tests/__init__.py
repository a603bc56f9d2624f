"""Tests of the router: unit tests, simulations and tests on real processes."""

"""Tests of the guarantees that the router gives to callers and operators."""

"""Tests of the behaviour under malformed input, crashes and overload."""

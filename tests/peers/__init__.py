"""Tests of the messages between entry instances."""

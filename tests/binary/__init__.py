"""Tests of the single file, on the running process."""

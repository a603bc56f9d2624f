"""Tests of the single-file executable on its running process."""

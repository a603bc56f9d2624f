"""Tests of the entry instance on the users' platform."""

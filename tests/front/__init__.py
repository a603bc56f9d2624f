"""Tests of the entry instance on the hosting platform."""

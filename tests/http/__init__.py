"""Tests of the web applications."""

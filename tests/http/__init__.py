"""Tests of the web servers."""

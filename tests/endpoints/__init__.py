"""Tests of the clients of configured endpoints."""

"""Tests of the router instance on the hosting platform."""

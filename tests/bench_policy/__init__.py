"""Tests of the routing policy benchmark."""

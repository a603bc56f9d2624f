"""Tests of the interfaces for operators, against running processes."""

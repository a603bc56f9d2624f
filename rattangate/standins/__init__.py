"""Fakes of the outside systems, with faults on request."""

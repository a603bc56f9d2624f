"""Explains the outcome of a past request from the logs of the instances."""

"""Explains a request afterwards from the logs of the instances."""

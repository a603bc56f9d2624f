"""The wire protocol and the connections between entry instances."""

"""Messages and connections between entry instances."""

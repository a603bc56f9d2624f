"""Clients of the table service, the object store and the instance list."""

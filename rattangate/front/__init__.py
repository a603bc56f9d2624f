"""The entry instance on the users' platform: callers, endpoints, and what watches the store."""

"""The router instance on the hosting platform: callers, endpoints, peers and the store."""

"""The API for callers and the administration API."""

"""The caller API and the administration API."""

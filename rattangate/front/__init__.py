"""The entry instance on the hosting platform, which provides its store, settings and endpoints."""

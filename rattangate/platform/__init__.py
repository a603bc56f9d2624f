"""Adapters to the platform: its store, deploy and settings files, headers and replica orders."""

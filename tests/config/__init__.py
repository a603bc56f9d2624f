"""Config package."""

"""Commands for the project's developers."""

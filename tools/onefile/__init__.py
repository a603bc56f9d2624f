"""The modules that the build puts at the top of the single file."""

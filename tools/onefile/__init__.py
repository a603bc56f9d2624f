"""The launcher and the modules that the build adds at the top level of the archive."""

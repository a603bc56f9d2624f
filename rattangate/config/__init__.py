"""Settings: dataclasses, merging of a base file with an overlay, and validation."""

"""Developer commands that build the single-file program and generate code and pages."""

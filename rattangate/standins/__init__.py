"""Stand-ins (fakes) for the external systems, with fault injection over HTTP."""

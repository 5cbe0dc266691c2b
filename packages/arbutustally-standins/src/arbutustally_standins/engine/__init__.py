"""Stand-in for a model engine, with the protocol of section 15 of the design."""

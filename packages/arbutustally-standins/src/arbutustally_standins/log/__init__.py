"""Stand-in for the platform's append-only log."""

"""Stand-in for the platform's instance list."""

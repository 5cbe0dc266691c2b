"""Stand-ins of clients, workers and the platform, for the cases of the third review."""

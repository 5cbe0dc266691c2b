"""Stand-in for the rate-limited store of model weights."""

"""Stand-ins and helpers of the scripts in this review."""

"""Stand-in for the store of computed prompt pieces."""

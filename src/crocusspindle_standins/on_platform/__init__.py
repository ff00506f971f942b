"""Stand in for the users' platform: its store, its targets, its callers."""

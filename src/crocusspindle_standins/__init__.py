"""Stand in for the platform, targets, callers and bad networks in tests."""

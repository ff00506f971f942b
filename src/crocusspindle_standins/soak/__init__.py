"""Play seeded faults against real gateway processes and check what callers saw."""

"""Run the real services of many nodes in one process, in virtual time."""

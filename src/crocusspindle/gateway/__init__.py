"""Run a node that serves on the users' platform."""

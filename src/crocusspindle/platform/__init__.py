"""Reach the platform's table, object store and host list."""

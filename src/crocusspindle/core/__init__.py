"""Decide everything the fleet decides, without input or output."""

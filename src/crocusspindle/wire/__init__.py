"""Hold the generated messages that nodes exchange."""

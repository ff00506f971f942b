"""Benchmark the fleet: decisions in virtual time, processes on loopback."""

"""Implement the fleet's decisions as pure logic, without input or output."""

"""Bench of the placement policy."""

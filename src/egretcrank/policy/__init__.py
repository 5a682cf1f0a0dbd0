"""Decisions on batch work."""

"""Scheduling policy for batch tasks."""

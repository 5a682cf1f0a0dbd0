"""Decisions on jobs, tasks and hosts, apart from input and output."""

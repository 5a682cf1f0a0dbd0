"""Logs, decision records and metrics."""

"""Execution on the local upstream and worker."""

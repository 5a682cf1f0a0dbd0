"""Execution of requests and tasks on the local upstream and worker."""

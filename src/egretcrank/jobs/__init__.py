"""Batch jobs and tasks."""

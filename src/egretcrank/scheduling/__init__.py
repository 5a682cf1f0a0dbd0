"""Scheduling of jobs and tasks on hosts, without I/O."""

"""Scheduler for latency-critical requests and batch work on shared hosts."""

__version__ = "0.1.0"

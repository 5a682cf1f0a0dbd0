"""Benchmark of the placement and pace decisions on simulated hosts."""

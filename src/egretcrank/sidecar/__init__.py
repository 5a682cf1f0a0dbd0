"""Sidecar daemon with the partitions that it owns."""

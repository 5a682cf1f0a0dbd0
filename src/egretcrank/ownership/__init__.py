"""Owners of partitions."""

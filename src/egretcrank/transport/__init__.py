"""Messaging between processes, and helpers for threads."""

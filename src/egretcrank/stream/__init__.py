"""Streams of the platform's log service."""

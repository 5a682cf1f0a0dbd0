"""Cluster membership: announcements of hosts and the member table."""

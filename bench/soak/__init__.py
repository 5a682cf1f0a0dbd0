"""Randomized soak of the daemons of the platform as real processes."""

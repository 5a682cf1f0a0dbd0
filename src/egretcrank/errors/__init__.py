"""Error kinds and their HTTP responses."""

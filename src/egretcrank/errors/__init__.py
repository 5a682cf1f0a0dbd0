"""Error kinds and their answers."""

"""Entry daemon with its HTTP interface and request routing."""

"""The operators' two lists."""

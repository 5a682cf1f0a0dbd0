"""The operators' lists of plans and allowances: format, publication and state."""

"""Claims and outcomes of idempotency keys."""

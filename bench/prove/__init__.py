"""Proofs of the guarantees under injected failures."""

"""Recorded behaviour of the deterministic components, which refactoring must not change."""

"""Replicated log: a sans-I/O consensus core, its storage and its actor."""

"""Replicated log: a sans-I/O core, its storage and its actor."""

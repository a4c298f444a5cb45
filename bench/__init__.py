"""Measurements; each module registers the keys that it writes."""

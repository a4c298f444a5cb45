"""Benchmarks; each module documents the result keys that it writes."""

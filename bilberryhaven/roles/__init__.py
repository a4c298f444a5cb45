"""Wiring of each role from settings."""

"""Workflows: how jobs of steps are accepted, placed, run and ended."""

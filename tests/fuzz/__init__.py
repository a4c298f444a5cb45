"""Stateful fuzzing; each module has ``run(seed)``."""

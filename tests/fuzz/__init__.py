"""Stateful fuzzing; each module with a ``run(seed)`` is run."""

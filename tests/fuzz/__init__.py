"""Stateful fuzzing; each module's ``run(seed)`` searches with that seed."""

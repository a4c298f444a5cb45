"""Stateful fuzz tests; each module with a ``run(seed)`` function is run."""

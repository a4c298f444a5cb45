<<<<<<< HEAD
"""Stateful fuzzing; each module's ``run(seed)`` searches with that seed."""
=======
"""Stateful fuzzing; each module with a ``run(seed)`` is run."""
>>>>>>> main

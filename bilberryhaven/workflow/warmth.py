"""How much of a task's run time a server is slow after its start.

Load pattern: many servers restart together, such as those of an availability
zone that is restored, while tasks keep coming. Quick and latency-critical
tasks prefer the servers that are warm; the others follow as they warm up.
"""

__all__ = ['compute_slow_share']


def compute_slow_share(step, warming_ms):
    """Return the share of a task's run time in which its server is slow.

    Args:
        step: The ``Step`` of the task.
        warming_ms: How much longer the server is slow, in ms.

    Returns:
        A number from 0 to 1, rounded to a tenth. 0 for best-effort tasks,
        for which the other tasks of a server matter more; 1 on a slow server
        for latency-critical tasks, whose users notice each slow request, and
        for tasks of unknown run time.
    """
    if step.best_effort or not warming_ms:
        return 0.0
    if step.target_ms or not step.estimate_ms:
        return 1.0
    return round(min(1.0, warming_ms / step.estimate_ms), 1)

"""Detection of runs that are far slower than others of their queue."""

__all__ = ['RunTimes', 'list_stragglers']

# Weight of the newest run, for a mean over about the last 20 runs.
NEWEST_WEIGHT = 0.05
# Progress is listed twice a second, so little is known of a younger run.
MIN_AGE_S = 1.0
# A run is a straggler if its remaining time exceeds the mean run time of its
# queue by more than this factor. Then a new start on another server ends
# sooner, even if the mean is a poor estimate.
MAX_REMAINING_FACTOR = 2.0
# Tasks with this many starts are not moved again.
MAX_STARTS = 3


class RunTimes:
    """Mean run times of tasks by queue, held in the leader's memory only.

    They are measured because declared run times are far off.
    """

    def __init__(self):
        self._means = {}

    def record(self, queue, seconds):
        """Add the run time of a task that has succeeded.

        Args:
            queue: Name of the queue.
            seconds: The run time.
        """
        known = self._means.get(queue, seconds)
        self._means[queue] = known + NEWEST_WEIGHT * (seconds - known)

    def find(self, queue):
        """Return a queue's mean in seconds, or None if no task has ended."""
        return self._means.get(queue)


def list_stragglers(views, present, times, now):
    """Return the runs that would end sooner if restarted elsewhere.

    Args:
        views: ``RunView`` by run, all that the log assigns to one server.
        present: ``Presence`` by run, from the server's newest listing.
        times: The ``RunTimes``.
        now: Monotonic time as a timedelta.
    """
    found = []
    for ref, seen in present.items():
        view = views.get(ref)
        if view is None or view.stopping or not _is_comparable(view.step):
            continue
        mean = times.find(view.row.queue)
        age = (now - seen.first_at).total_seconds()
        if mean is None or age < MIN_AGE_S or ref.number >= MAX_STARTS:
            continue
        completed = max(seen.running.percent, 1) / 100
        remaining = age * (1 - completed) / completed
        if remaining > MAX_REMAINING_FACTOR * mean:
            found.append(ref)
    return found


def _is_comparable(step):
    # Best-effort tasks are throttled, the tasks of a gang wait for each other,
    # and long-running tasks do not end.
    return not (step.best_effort or step.gang or step.long_running)

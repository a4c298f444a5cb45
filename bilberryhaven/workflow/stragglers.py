"""Runs that are far slower than their like, on slow or stalled servers."""

__all__ = ['RunTimes', 'list_stragglers']

# Weight of the newest run in a mean over about the last twenty.
NEWEST_WEIGHT = 0.05
# Progress is listed twice a second, so a younger run tells little.
MIN_AGE_S = 1.0
# A run is a straggler if what is left of it takes more than this many times
# the mean of its queue; then a new start elsewhere ends sooner, even where
# the mean is a poor guess.
MAX_REMAINING_FACTOR = 2.0
# A task that was started this often isn't moved again.
MAX_STARTS = 3


class RunTimes:
    """Mean run times of tasks by queue; leader's memory only.

    Declared run times are far off.
    """

    def __init__(self):
        self._means = {}

    def record(self, queue, seconds):
        """Take the run time of a task that has ended well."""
        known = self._means.get(queue, seconds)
        self._means[queue] = known + NEWEST_WEIGHT * (seconds - known)

    def find(self, queue):
        """Return the mean in seconds, or None where none has ended."""
        return self._means.get(queue)


def list_stragglers(views, present, times, now):
    """Return the runs that would end sooner if started anew elsewhere.

    Args:
        views: ``RunView`` by run, all that count on one server.
        present: ``Presence`` by run, as the server listed them.
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
    # Best-effort tasks are paced, gangs wait for each other, and tasks that
    # last have no end.
    return not (step.best_effort or step.gang or step.long_running)

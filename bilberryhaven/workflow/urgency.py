"""Order in which best-effort workflows get spare CPU.

Under a backlog, first come, first served and earliest deadline first make
most workflows miss their deadlines, since many are begun and few are
finished. So the workflows with the least remaining work for their value come
first, among those that can still meet their deadlines. Begun workflows are
finished before others are begun, and a wide one isn't passed over for long by
narrow ones, as its value grows with its work.
"""

__all__ = ['ValueRanker']

MS_PER_S = 1000
# Value of a workflow that doesn't depend on its work, as a multiple of the
# mean work of its queue. It makes small workflows worth more for their work.
BASE_VALUE = 0.3 / 0.7
# A workflow is of little value to its caller after this multiple of the time
# that it was to take.
MAX_LATENESS = 3.0
# Difference between the ranks of workflows that can be in time, can be late
# and are too late.
TIER = 1e12
# Weight of the newest workflow in the mean work of a queue.
NEWEST_WEIGHT = 0.05


class ValueRanker:
    """Ranks best-effort workflows by remaining work for their value.

    Args:
        times: The measured ``RunTimes``. They are preferred,
            since declared run times are far off.
    """

    def __init__(self, *, times):
        self._times = times
        self._mean_work = {}

    def record(self, row):
        """Include a workflow in the mean work of its queue.

        Args:
            row: The ``Workflow``.
        """
        work = _sum_work(row.steps, [step.tasks for step in row.steps])
        known = self._mean_work.get(row.queue, work)
        self._mean_work[row.queue] = known + NEWEST_WEIGHT * (work - known)

    def find_rank(self, row, undone, due_at, now):
        """Return the rank of one occurrence; lower ranks take precedence.

        Args:
            row: The ``Workflow``.
            undone: Number of tasks by step that aren't done.
            due_at: When the occurrence was due, Unix time in seconds.
            now: Unix time in seconds.

        Returns:
            The remaining work for the value, in three tiers: workflows that
            can be in time, that can be late and, by due time, the others.
        """
        total_s, remaining_s = self._estimate_critical_path(row, undone)
        allowed_s = row.latency_ms / MS_PER_S + row.slack_factor * total_s
        needed_s = now + remaining_s - due_at
        if needed_s > MAX_LATENESS * allowed_s:
            return 2 * TIER + due_at
        work = _sum_work(row.steps, [step.tasks for step in row.steps])
        value = BASE_VALUE * self._mean_work.get(row.queue, work) + work
        cost = _sum_work(row.steps, undone) / max(value, 1)
        return cost if needed_s <= allowed_s else TIER + cost

    def _estimate_critical_path(self, row, undone):
        """Return the length and the remainder of the critical path in s."""
        mean_s = self._times.find(row.queue)
        totals, remainders = [], []
        for step, count in zip(row.steps, undone, strict=True):
            seconds = mean_s
            if seconds is None:
                seconds = step.estimate_ms / MS_PER_S
            before = max((totals[other] for other in step.after), default=0.0)
            left = max(
                (remainders[other] for other in step.after), default=0.0
            )
            totals.append(before + seconds)
            remainders.append(left + (seconds if count else 0.0))
        return max(totals), max(remainders)


def _sum_work(steps, counts):
    """Return the CPU that ``counts`` tasks of each step request, in sum."""
    return sum(
        step.cpu * count for step, count in zip(steps, counts, strict=True)
    )

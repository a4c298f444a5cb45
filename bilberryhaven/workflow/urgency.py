"""The order in which best-effort workflows get what is left over.

Under a backlog, first come first served makes all late. So those that can
still end in time come first, by their deadlines; those that can't any more
get what these leave.
"""

__all__ = ['DeadlineRanker']

# Seconds by which a workflow that can't end in time any more is put back:
# above any deadline of one that can.
LATE_PENALTY_S = 1e6
MS_PER_S = 1000


class DeadlineRanker:
    """Ranks workflows by their deadlines.

    Args:
        times: The ``RunTimes`` of the queues; declared run times are far
            off.
    """

    def __init__(self, *, times):
        self._times = times

    def find_rank(self, row, due_at, now):
        """Return the rank of one occurrence; lower ones come first.

        Args:
            row: The ``Workflow``.
            due_at: When the occurrence was due, Unix time in seconds.
            now: Unix time in seconds.
        """
        whole, rest = self._estimate_critical_path(row)
        deadline = due_at + row.latency_ms / MS_PER_S
        deadline += row.slack_factor * whole
        if now + rest > deadline:
            return deadline + LATE_PENALTY_S
        return deadline

    def _estimate_critical_path(self, row):
        """Return the seconds of the longest chain of steps, and its rest."""
        known = self._times.find(row.queue)
        whole, rest = [], []
        for index, step in enumerate(row.steps):
            seconds = known
            if seconds is None:
                seconds = step.estimate_ms / MS_PER_S
            done = row.schedule is None and row.is_step_done(0, index)
            before = max((whole[other] for other in step.after), default=0.0)
            left = max((rest[other] for other in step.after), default=0.0)
            whole.append(before + seconds)
            rest.append(left + (0.0 if done else seconds))
        return max(whole), max(rest)

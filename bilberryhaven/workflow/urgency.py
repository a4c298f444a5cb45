"""Order in which best-effort workflows get spare CPU.

Under a backlog, first come, first served makes all workflows miss their
deadlines. So the workflows that can still meet their deadlines come first, in
order of deadline; those that can't get the rest.
"""

__all__ = ['DeadlineRanker']

# Seconds added to the rank of a workflow that can no longer meet its deadline,
# so that it ranks after all workflows that can.
LATE_PENALTY_S = 1e6
MS_PER_S = 1000


class DeadlineRanker:
    """Ranks best-effort workflows by deadline.

    Args:
        times: The measured ``RunTimes`` of the queues. They are preferred,
            since declared run times are far off.
    """

    def __init__(self, *, times):
        self._times = times

    def find_rank(self, row, due_at, now):
        """Return the rank of one occurrence; lower ranks take precedence.

        Args:
            row: The ``Workflow``.
            due_at: When the occurrence was due, Unix time in seconds.
            now: Unix time in seconds.

        Returns:
            The deadline, Unix time in seconds; later by ``LATE_PENALTY_S``
            if it can't be met any more.
        """
        total_s, remaining_s = self._estimate_critical_path(row)
        deadline = due_at + row.latency_ms / MS_PER_S
        deadline += row.slack_factor * total_s
        if now + remaining_s > deadline:
            return deadline + LATE_PENALTY_S
        return deadline

    def _estimate_critical_path(self, row):
        """Return the length and the remainder of the critical path in s."""
        mean_s = self._times.find(row.queue)
        totals, remainders = [], []
        for index, step in enumerate(row.steps):
            seconds = mean_s
            if seconds is None:
                seconds = step.estimate_ms / MS_PER_S
            done = row.schedule is None and row.is_step_done(0, index)
            before = max((totals[other] for other in step.after), default=0.0)
            left = max(
                (remainders[other] for other in step.after), default=0.0
            )
            totals.append(before + seconds)
            remainders.append(left + (0.0 if done else seconds))
        return max(totals), max(remainders)

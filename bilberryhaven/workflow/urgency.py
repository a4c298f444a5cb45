"""Needs of workflows, by which those that wait are ranked under a backlog."""

import collections

from bilberryhaven.overload import precedence

__all__ = ['ValueRanker']

MS_PER_S = 1000
# Value of a workflow that doesn't depend on its work, as a multiple of the
# mean work of its queue. It makes small workflows worth more for their work.
BASE_VALUE = 0.3 / 0.7
# Tasks without any known run time still differ by the CPU that they request.
MIN_RUN_S = 0.001
# Weight of the newest workflow in the mean work of a queue.
NEWEST_WEIGHT = 0.05
# Mean run times that differ by less than this share count as equal.
EQUAL_SHARE = 0.02


class ValueRanker:
    """Ranks workflows by remaining work for their value.

    Args:
        times: The measured ``RunTimes``. They are preferred,
            since declared run times are far off.
        shares: The ``CallerShares``; None chooses among competing work
            whoever asks for it.
    """

    def __init__(self, *, times, shares=None):
        self._times = times
        self._shares = shares
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
        """Return the rank of one occurrence, whatever else is waiting.

        Args:
            row: The ``Workflow``.
            undone: Number of tasks by step that aren't done.
            due_at: When the occurrence was due, Unix time in seconds.
            now: Unix time in seconds.
        """
        return precedence.find_rank(self.describe(row, undone, due_at), now)

    def choose_ranks(self, occurrences, rates, now):
        """Return the ranks of all occurrences that compete for room.

        Without a known rate, best-effort work is ranked whatever else is
        waiting and other work by its due time. Long-running work is needed
        from its due time on, so it keeps its place.

        Args:
            occurrences: The ``Occurrence`` rows.
            rates: CPU that competing work gets in total, by ``room_key``, as
                far as it is known.
            now: Unix time in seconds.

        Returns:
            The ranks by key.
        """
        ranks = {}
        competing = collections.defaultdict(dict)
        for item in occurrences:
            competes = item.room_key in rates and not item.long_running
            if not competes and not item.best_effort:
                ranks[item.key] = item.due_at - precedence.TIER
                continue
            need = self.find_need(item)
            if competes:
                competing[item.room_key][item.key] = (item, need)
            else:
                ranks[item.key] = precedence.find_rank(need, now)
        for room_key, rows in competing.items():
            ranks.update(self._choose(room_key, rows, rates[room_key], now))
        return ranks

    def _choose(self, room_key, rows, rate, now):
        if self._shares is not None:
            return self._shares.choose_ranks(
                room_key, rows, rate, now, self._list_run_times
            )
        needs = {key: need for key, (_, need) in rows.items()}
        return precedence.choose_ranks(needs, rate, now)

    def find_need(self, item):
        """Return the ``Need`` of an ``Occurrence``, which keeps it.

        A backlog is ranked in each round, so that one is described again only
        when it or the run times of its queue have changed.

        Args:
            item: The ``Occurrence``.
        """
        run_s = self._times.find(item.row.queue)
        if item.need is None or not _is_near(item.run_s, run_s):
            item.need = self.describe(item.row, item.undone, item.due_at)
            item.run_s = run_s
        return item.need

    def describe(self, row, undone, due_at):
        """Return the ``Need`` of one occurrence.

        Args:
            row: The ``Workflow``.
            undone: Number of tasks by step that aren't done.
            due_at: When the occurrence was due, Unix time in seconds.
        """
        seconds = self._list_run_times(row)
        total_s, remaining_s = _measure_critical_path(row, undone, seconds)
        remaining = _sum_work(row.steps, undone)
        work = _sum_work(row.steps, [step.tasks for step in row.steps])
        value = BASE_VALUE * self._mean_work.get(row.queue, work) + work
        cpu_seconds = sum(
            step.cpu * count * max(step_s, MIN_RUN_S)
            for step, count, step_s in zip(
                row.steps, undone, seconds, strict=True
            )
        )
        mean_s = cpu_seconds / remaining if remaining else 1.0
        return precedence.Need(
            due_at=due_at,
            allowed_s=row.latency_ms / MS_PER_S + row.slack_factor * total_s,
            remaining_s=remaining_s,
            work=cpu_seconds,
            value=value * mean_s,
            priority=row.priority,
            begun=row.started,
        )

    def _list_run_times(self, row):
        """Return the expected run times of a task, in s, by step."""
        mean_s = self._times.find(row.queue)
        return [
            step.estimate_ms / MS_PER_S if mean_s is None else mean_s
            for step in row.steps
        ]


def _is_near(first, second):
    if first is None or second is None:
        return first is second
    return abs(first - second) <= EQUAL_SHARE * second


def _measure_critical_path(row, undone, seconds):
    """Return the length and the remainder of the critical path in s."""
    totals, remainders = [], []
    for step, count, step_s in zip(row.steps, undone, seconds, strict=True):
        before = max((totals[other] for other in step.after), default=0.0)
        left = max((remainders[other] for other in step.after), default=0.0)
        totals.append(before + step_s)
        remainders.append(left + (step_s if count else 0.0))
    return max(totals), max(remainders)


def _sum_work(steps, counts):
    """Return the CPU that ``counts`` tasks of each step request, in sum."""
    return sum(
        step.cpu * count for step, count in zip(steps, counts, strict=True)
    )

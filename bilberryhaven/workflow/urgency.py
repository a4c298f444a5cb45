"""Needs of workflows, by which those that wait are ranked under a backlog."""

import collections
import dataclasses

from bilberryhaven.overload import precedence

__all__ = ['Extent', 'ValueRanker']

MS_PER_S = 1000
# Value of a workflow that doesn't depend on its work, as a multiple of the
# mean work of its queue. It makes small workflows worth more for their work.
BASE_VALUE = 0.3 / 0.7
# Tasks without any known run time still differ by the CPU that they request.
MIN_RUN_S = 0.001
# Weight of the newest workflow in the mean work of a queue.
NEWEST_WEIGHT = 0.05


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Extent:
    """What one occurrence of a workflow comprises, whatever its tasks take.

    Attributes:
        work: CPU that all its tasks request, in sum.
        remaining: CPU that the tasks request that aren't done, in sum.
        path: Number of steps on its critical path, and of those left.
        declared_path: The same in seconds, by declared run times.
        declared_work: Remaining CPU times seconds, by declared run times.
    """

    work: float
    remaining: float
    path: tuple
    declared_path: tuple
    declared_work: float


class ValueRanker:
    """Ranks workflows by remaining work for their value.

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
                competing[item.room_key][item.key] = need
            else:
                ranks[item.key] = precedence.find_rank(need, now)
        for room_key, needs in competing.items():
            ranks.update(precedence.choose_ranks(needs, rates[room_key], now))
        return ranks

    def find_need(self, item):
        """Return the ``Need`` of an ``Occurrence``.

        The occurrence keeps its ``Extent``: a backlog is ranked in each
        round, and little of it has changed then.

        Args:
            item: The ``Occurrence``.
        """
        if item.extent is None:
            item.extent = _measure_extent(item.row, item.undone)
        return self._build_need(item.row, item.extent, item.due_at)

    def describe(self, row, undone, due_at):
        """Return the ``Need`` of one occurrence.

        Args:
            row: The ``Workflow``.
            undone: Number of tasks by step that aren't done.
            due_at: When the occurrence was due, Unix time in seconds.
        """
        return self._build_need(row, _measure_extent(row, undone), due_at)

    def _build_need(self, row, extent, due_at):
        run_s = self._times.find(row.queue)
        if run_s is None:
            total_s, remaining_s = extent.declared_path
            cpu_seconds = extent.declared_work
        else:
            total_s, remaining_s = (count * run_s for count in extent.path)
            cpu_seconds = extent.remaining * max(run_s, MIN_RUN_S)
        mean_work = self._mean_work.get(row.queue, extent.work)
        mean_s = cpu_seconds / extent.remaining if extent.remaining else 1.0
        return precedence.Need(
            due_at=due_at,
            allowed_s=row.latency_ms / MS_PER_S + row.slack_factor * total_s,
            remaining_s=remaining_s,
            work=cpu_seconds,
            value=(BASE_VALUE * mean_work + extent.work) * mean_s,
            priority=row.priority,
            begun=row.started,
        )


def _measure_extent(row, undone):
    """Return the ``Extent`` of one occurrence.

    Args:
        row: The ``Workflow``.
        undone: Number of tasks by step that aren't done.
    """
    declared = [step.estimate_ms / MS_PER_S for step in row.steps]
    return Extent(
        work=_sum_work(row.steps, [step.tasks for step in row.steps]),
        remaining=_sum_work(row.steps, undone),
        path=_measure_critical_path(row, undone, [1] * len(row.steps)),
        declared_path=_measure_critical_path(row, undone, declared),
        declared_work=sum(
            step.cpu * count * max(step_s, MIN_RUN_S)
            for step, count, step_s in zip(
                row.steps, undone, declared, strict=True
            )
        ),
    )


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

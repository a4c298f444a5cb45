"""Speed of backend servers, measured against like tasks.

The load that it answers: servers of uneven speed, some of which turn slow for
seconds, under tasks whose run times have a heavy tail. A single task can't
tell a slow server from a long task. So each task is compared with the other
tasks of its step, on any server, and the median over the tasks of a server is
the server's speed.
"""

import collections
import dataclasses
import datetime
import statistics

from bilberryhaven import clock as clocks

__all__ = ['ServerSpeeds', 'is_comparable', 'is_slow', 'rate_slowness']

NORMAL_SPEED = 1.0
# A server below this speed is slow. Tasks of one step differ by less.
SLOW_SPEED = 0.5
# Speeds from this one on are equal for the choice of a server.
MIN_EQUAL_SPEED = 0.6
MIN_SPEED = 0.01
# Tasks that a speed rests on at least; one slow task may be a long one.
MIN_SAMPLES = 2
# Time after which an ended run, and a speed that nothing confirms, no longer
# count.
END_AGE = clocks.seconds(2)
SPEED_AGE = clocks.seconds(4)
# Tasks, and servers that run them, that make the median of a step.
MIN_SIBLINGS = 3
MIN_SIBLING_SERVERS = 2
# Interval at which the median of a step is computed again.
STEP_INTERVAL = clocks.seconds(0.5)
# Steps that are kept; the least recently seen one is dropped.
MAX_STEPS = 1024
TYPICAL_SHARE = 0.5


def is_slow(speed):
    """Return whether tasks on a server of this speed end much later."""
    return speed < SLOW_SPEED


def rate_slowness(speed, step):
    """Return the sort key of a server's speed for a task; 0 is the best.

    Best-effort tasks are throttled anyway, and long-running tasks outlast the
    seconds for which a server is slow.

    Args:
        speed: Speed of the server.
        step: The ``Step`` of the task.
    """
    if step.best_effort or step.long_running or speed >= MIN_EQUAL_SPEED:
        return 0
    return round(1 / max(speed, MIN_SPEED))


def is_comparable(step):
    """Return whether the run time of a step's tasks tells a server's speed.

    Best-effort tasks are throttled, the tasks of a gang wait for each other,
    and long-running tasks don't end.
    """
    return not (step.best_effort or step.gang or step.long_running)


class ServerSpeeds:
    """Speeds by key of the backend server, in the leader's memory only.

    A new leader learns them from two listings of each server.

    Args:
        times: The ``RunTimes``, for steps with few tasks.
    """

    def __init__(self, *, times):
        self._times = times
        self._servers = {}
        self._steps = collections.OrderedDict()

    def clear(self):
        """Remove all records."""
        self._servers.clear()
        self._steps.clear()

    def remove(self, backend):
        """Remove the record of one backend server."""
        self._servers.pop(backend, None)

    def find(self, backend, now):
        """Return the speed of a server; 1 is normal, and if unknown.

        Args:
            backend: Key of the backend server.
            now: Monotonic time.
        """
        row = self._servers.get(backend)
        if row is None or now > row.valid_until:
            return NORMAL_SPEED
        return row.speed

    def find_typical(self, view, now):
        """Return the time that a task like a run's takes, or None.

        Args:
            view: The ``RunView``.
            now: Monotonic time.
        """
        step = self._steps.get(view.group)
        typical = step.find_median(now) if step is not None else None
        if typical is not None:
            return typical
        return self._times.quantile(
            view.row.queue, TYPICAL_SHARE, image=view.step.image
        )

    def record_end(self, view, seconds, now, *, rack=''):
        """Include a run that has succeeded.

        Args:
            view: Its ``RunView``.
            seconds: Its run time.
            now: Monotonic time.
            rack: Rack of its server.
        """
        if not (is_comparable(view.step) and _is_local(view.step, rack)):
            return
        self._add_sibling(view, seconds)
        typical = self.find_typical(view, now)
        if typical is not None and seconds > 0:
            row = self._servers.setdefault(view.backend, _Server())
            row.ends.append((now, typical / seconds))

    def observe(self, backend, runs, now, *, rack=''):
        """Measure the speed of a server again.

        Args:
            backend: Key of the backend server.
            runs: (``RunView``, ``RunProgress``) pairs of the listed runs.
            now: Monotonic time.
            rack: Rack of the server; tasks whose data is in another rack
                aren't compared.
        """
        row = self._servers.setdefault(backend, _Server())
        row.ends = [end for end in row.ends if now - end[0] <= END_AGE]
        measured = [
            (view, seen.total_s)
            for view, seen in runs
            if seen.total_s is not None
            and is_comparable(view.step)
            and _is_local(view.step, rack)
        ]
        for view, total_s in measured:
            self._add_sibling(view, total_s)
        ratios = [ratio for _, ratio in row.ends]
        for view, total_s in measured:
            typical = self.find_typical(view, now)
            if typical is not None:
                ratios.append(typical / total_s)
        if len(ratios) >= MIN_SAMPLES:
            row.speed = statistics.median_high(ratios)
            row.valid_until = now + SPEED_AGE

    def _add_sibling(self, view, total_s):
        step = self._steps.pop(view.group, None) or _Step()
        step.totals[view.ref.task] = (view.backend, total_s)
        self._steps[view.group] = step
        if len(self._steps) > MAX_STEPS:
            self._steps.popitem(last=False)


def _is_local(step, rack):
    """Return whether a task has its data and its step's tasks in the rack."""
    return not step.rack_local and step.data_rack in ('', rack)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Server:
    """Speed of one server.

    Attributes:
        speed: The speed; 1 is normal.
        valid_until: Monotonic time until which it counts.
        ends: (monotonic time, speed) pairs of ended runs.
    """

    speed: float = NORMAL_SPEED
    valid_until: datetime.timedelta = datetime.timedelta.min
    ends: list = dataclasses.field(default_factory=list)


class _Step:
    """Run times of the tasks of one step, ended or expected.

    Attributes:
        totals: (key of the server, seconds) by task.
    """

    def __init__(self):
        self.totals = {}
        self._median = None
        self._valid_until = datetime.timedelta.min

    def find_median(self, now):
        """Return the median, or None if too few tasks are known.

        Args:
            now: Monotonic time.
        """
        if self._median is None or now >= self._valid_until:
            self._valid_until = now + STEP_INTERVAL
            self._median = self._compute_median()
        return self._median

    def _compute_median(self):
        rows = self.totals.values()
        servers = {backend for backend, _ in rows}
        if len(rows) < MIN_SIBLINGS or len(servers) < MIN_SIBLING_SERVERS:
            return None
        return statistics.median(seconds for _, seconds in rows)

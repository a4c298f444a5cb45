"""Model of a backend server with leases and fencing, and a test oracle."""

import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message
from bilberryhaven.workflow import server_client

__all__ = ['FAULTS', 'STARTS_LATE', 'WORKS_TWICE', 'Oracle', 'ServerModel']

EXCEEDS_CAPACITY = 'exceeds the capacity'
WORKS_TWICE = 'works twice'
STARTS_LATE = 'starts after its task has ended'
FAULTS = (EXCEEDS_CAPACITY, WORKS_TWICE, STARTS_LATE)

StartResult = server_client.StartResult


class Oracle:
    """Invariants over all servers, checked at each start.

    Args:
        max_runs: Runs of a task that may work at once.
        ignored: Faults that are ignored, to see whether others follow.

    Attributes:
        working: Set of the runs that are present, by server.
        done: (workflow id, task key) pairs whose end was acknowledged.
        starts: Number of starts so far.
        copies: Number of starts beside another run of the task.
    """

    def __init__(self, *, max_runs=1, ignored=()):
        self.max_runs = max_runs
        self.ignored = ignored
        self.working = {}
        self.done = set()
        self.cancelled = {}
        self.starts = 0
        self.copies = 0

    def check_start(self, server, ref):
        task = (ref.workflow, ref.task)
        others = [
            other
            for other, refs in self.working.items()
            if other is not server
            and other.up
            and any((r.workflow, r.task) == task for r in refs)
        ]
        self.check(len(others) < self.max_runs, ref, WORKS_TWICE)
        # The run that is stopped for a copy's sake may just be starting.
        is_late = task in self.done and self.max_runs == 1
        self.check(not is_late, ref, STARTS_LATE)
        self.copies += bool(others)
        self.working.setdefault(server, set()).add(ref)
        self.starts += 1

    def check(self, holds, ref, fault):
        assert holds or fault in self.ignored, f'{ref} {fault}'

    def record_end(self, server, ref):
        self.working.get(server, set()).discard(ref)

    def record_acked(self, end):
        if end.how == 'done':
            self.done.add((end.run.workflow, end.run.task))


@dataclasses.dataclass(eq=False)
class ServerModel:
    """One incarnation of a backend server.

    Its clock is derived from the simulated time that the caller passes in.

    Attributes:
        key: Id of the server.
        born_ms: Number that rises with each incarnation.
        oracle: The ``Oracle``.
        capacity: Number of tasks that the server can run at once.
        lists_progress: Whether listings tell the progress; it is 0 otherwise.
    """

    key: str
    born_ms: int
    oracle: Oracle
    capacity: int
    born_at: float = 0.0
    up: bool = True
    lists_progress: bool = False
    fence: int = 0
    deadline_ms: int = 0

    def __post_init__(self):
        self.running = {}
        self.started_at = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.ended_ms = {}
        self.lapsed_ms = -1

    def clock_ms(self, now):
        return int((now - self.born_at) * 1000)

    def advance(self, now):
        """End the runs that are due, or all if the lease has expired."""
        if self.clock_ms(now) >= self.deadline_ms:
            self.lapsed_ms = self.clock_ms(now)
            for ref in list(self.running):
                self._end(ref, 'lapsed', now)
        for ref, ends_at in list(self.running.items()):
            if now >= ends_at:
                self._end(ref, 'done', now)

    def _end(self, ref, how, now):
        self.running.pop(ref)
        self._record_highest(ref)
        self.last_end += 1
        self.ends.append(workflow_commands.RunEnd(self.last_end, ref, how))
        self.ended_ms[self.last_end] = self.clock_ms(now)
        self.oracle.record_end(self, ref)

    def _record_highest(self, ref):
        task = (ref.workflow, ref.task)
        self.highest[task] = max(self.highest.get(task, 0), ref.number)

    def start(self, ref, deadline_ms, epoch, now, seconds):
        """Answer a start request as the protocol specifies."""
        if epoch < self.fence:
            return StartResult.REJECTED
        self.fence = epoch
        if ref in self.running:
            return StartResult.STARTED
        if deadline_ms <= self.clock_ms(now):
            return StartResult.LATE
        task = (ref.workflow, ref.task)
        if ref.number <= self.highest.get(task, 0):
            return StartResult.REJECTED
        fits = len(self.running) < self.capacity
        self.oracle.check(fits, ref, EXCEEDS_CAPACITY)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.running[ref] = now + seconds
        self.started_at[ref] = now
        self.oracle.check_start(self, ref)
        return StartResult.STARTED

    def stop(self, ref, epoch, now):
        if epoch < self.fence:
            return
        if ref in self.running:
            self._end(ref, 'stopped', now)
        else:
            self._record_highest(ref)

    def hold(self, deadline_ms, epoch, acked, now):
        """Return a ``Listing``, or None if the fencing token is too low."""
        if epoch < self.fence:
            return None
        self.fence = epoch
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        for end in self.ends:
            # An end counts unless the lease expired before it was
            # acknowledged.
            held = self.lapsed_ms < self.ended_ms[end.number]
            if end.number <= acked and held:
                self.oracle.record_acked(end)
        self.ends = [end for end in self.ends if end.number > acked]
        return server_client.Listing(
            clock_ms=self.clock_ms(now),
            born_ms=self.born_ms,
            running=[
                message.Running(ref, percent=self._find_percent(ref, now))
                for ref in self.running
            ],
            ends=list(self.ends),
        )

    def _find_percent(self, ref, now):
        if not self.lists_progress:
            return 0
        started_at = self.started_at[ref]
        share = (now - started_at) / (self.running[ref] - started_at)
        return int(100 * share)

    def check_end_valid(self, end):
        """Check that the lease held for an end that the leader counts."""
        if end.how == 'done':
            held = self.lapsed_ms < self.ended_ms[end.number]
            assert held, f'{end.run} counts, but its lease had expired'

    def crash(self):
        self.up = False
        for ref in list(self.running):
            self.oracle.record_end(self, ref)
        self.running.clear()

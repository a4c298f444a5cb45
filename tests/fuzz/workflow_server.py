"""A model of a backend server: leases, fencing, late calls, its oracle."""

import dataclasses

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message
from bilberryhaven.workflow import server_client

__all__ = ['Oracle', 'ServerModel']

StartResult = server_client.StartResult


class Oracle:
    """What must hold over all servers, checked at each start."""

    def __init__(self):
        self.working = {}
        self.done = set()
        self.cancelled = {}
        self.starts = 0

    def check_start(self, server, ref):
        task = (ref.workflow, ref.task)
        others = [
            other
            for other, refs in self.working.items()
            if other is not server
            and other.up
            and any((r.workflow, r.task) == task for r in refs)
        ]
        assert not others, f'{ref} works twice'
        assert task not in self.done, f'{ref} starts after its end'
        self.working.setdefault(server, set()).add(ref)
        self.starts += 1

    def record_end(self, server, ref):
        self.working.get(server, set()).discard(ref)

    def note_acked(self, end):
        if end.how == 'done':
            self.done.add((end.run.workflow, end.run.task))


@dataclasses.dataclass(eq=False)
class ServerModel:
    """One life of a backend server, on the true time of its caller.

    Attributes:
        key: Its id.
        born_ms: When this life began.
        oracle: The ``Oracle``.
        capacity: How many tasks fit.
    """

    key: str
    born_ms: int
    oracle: Oracle
    capacity: int
    born_at: float = 0.0
    up: bool = True
    fence: int = 0
    deadline_ms: int = 0

    def __post_init__(self):
        self.running = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.ended_ms = {}
        self.lapsed_ms = -1

    def clock_ms(self, now):
        return int((now - self.born_at) * 1000)

    def advance(self, now):
        """Let runs end whose time has come, and the lease run out."""
        if self.clock_ms(now) >= self.deadline_ms:
            self.lapsed_ms = self.clock_ms(now)
            for ref in list(self.running):
                self._end(ref, 'lapsed', now)
        for ref, ends_at in list(self.running.items()):
            if now >= ends_at:
                self._end(ref, 'done', now)

    def _end(self, ref, how, now):
        self.running.pop(ref)
        self._note_highest(ref)
        self.last_end += 1
        self.ends.append(workflow_commands.RunEnd(self.last_end, ref, how))
        self.ended_ms[self.last_end] = self.clock_ms(now)
        self.oracle.record_end(self, ref)

    def _note_highest(self, ref):
        task = (ref.workflow, ref.task)
        self.highest[task] = max(self.highest.get(task, 0), ref.number)

    def start(self, ref, deadline_ms, epoch, now, seconds):
        """Answer a start as the protocol says."""
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
        assert len(self.running) < self.capacity, 'over capacity'
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.running[ref] = now + seconds
        self.oracle.check_start(self, ref)
        return StartResult.STARTED

    def stop(self, ref, epoch, now):
        if epoch < self.fence:
            return
        if ref in self.running:
            self._end(ref, 'stopped', now)
        else:
            self._note_highest(ref)

    def hold(self, deadline_ms, epoch, acked, now):
        """Return a ``Listing``, or None where the token is too low."""
        if epoch < self.fence:
            return None
        self.fence = epoch
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        for end in self.ends:
            # An end counts unless the lease ran out before it was taken over.
            held = self.lapsed_ms < self.ended_ms[end.number]
            if end.number <= acked and held:
                self.oracle.note_acked(end)
        self.ends = [end for end in self.ends if end.number > acked]
        return server_client.Listing(
            clock_ms=self.clock_ms(now),
            born_ms=self.born_ms,
            running=[message.Running(ref) for ref in self.running],
            ends=list(self.ends),
        )

    def check_counted(self, end):
        """Check that an end that the leader counts as done may count."""
        if end.how == 'done':
            held = self.lapsed_ms < self.ended_ms[end.number]
            assert held, f'{end.run} counts, but its lease had run out'

    def crash(self):
        self.up = False
        for ref in list(self.running):
            self.oracle.record_end(self, ref)
        self.running.clear()

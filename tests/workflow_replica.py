"""Replica whose log commits immediately, for tests of the dispatcher."""

import threading

from bilberryhaven.consensus import status
from bilberryhaven import errors


class FakeReplica:
    """Commits immediately; is the leader while ``leading`` is true."""

    def __init__(self, machine):
        self.machine_lock = threading.RLock()
        self.leading = True
        self.term = 1
        self._machine = machine

    def check_read(self):
        if not self.leading:
            raise errors.NotLeaderError(
                'replica is not the leader', step='test', peer='x:1'
            )

    def status(self):
        return status.ReplicaStatus(name='r', term=self.term)

    def propose(self, data, *, timeout, term=0):
        self.check_read()
        if term not in (0, self.term):
            raise errors.NotLeaderError(
                f'term {term} has ended', step='test', peer='x:1'
            )
        with self.machine_lock:
            result = self._machine.apply(0, data)
        if isinstance(result, Exception):
            raise result
        return result

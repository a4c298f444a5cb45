"""A log that commits at once, for tests of the leader's work."""

import threading

from bilberryhaven.consensus import status
from bilberryhaven import errors


class FakeReplica:
    """Commits at once; leads while ``leading``."""

    def __init__(self, machine):
        self.machine_lock = threading.RLock()
        self.leading = True
        self.term = 1
        self._machine = machine

    def check_read(self):
        if not self.leading:
            raise errors.NotLeaderError('not here', step='test', peer='x:1')

    def status(self):
        return status.ReplicaStatus(name='r', term=self.term)

    def propose(self, data, *, timeout):
        self.check_read()
        with self.machine_lock:
            result = self._machine.apply(0, data)
        if isinstance(result, Exception):
            raise result
        return result

"""Recognition of outages that crash many backend servers at once.

Answers the loss of power of a rack, an availability zone or all servers. Such
a crash isn't caused by the tasks that a server has just started, but their
suspicion would keep many servers for restarting them apart, when all tasks
wait at the same time.
"""

import collections

from bilberryhaven import clock as clocks

__all__ = ['OutageDetector']

# Crashes within this time may have the same cause.
WINDOW = clocks.seconds(2)
# Servers that crash within the window although they have started nothing
# recently. A fault of single servers rarely hits as many at once.
MIN_UNEXPLAINED = 3


class OutageDetector:
    """Tells outages from crashes that tasks may have caused.

    Not thread-safe.
    """

    def __init__(self):
        self._crashes = collections.deque()
        self._suspected = collections.deque()

    def record(self, key, suspects, now):
        """Record a crash.

        Args:
            key: Key of the backend server.
            suspects: The runs that may have caused it.
            now: Monotonic time.

        Returns:
            Whether it belongs to an outage.
        """
        for crashes in (self._crashes, self._suspected):
            while crashes and now - crashes[0][0] > WINDOW:
                crashes.popleft()
        self._crashes.append((now, not suspects))
        unexplained = sum(idle for _, idle in self._crashes)
        if unexplained >= MIN_UNEXPLAINED:
            return True
        if suspects:
            self._suspected.append((now, key))
        return False

    def take_suspected(self):
        """Return the servers whose tasks were suspected before it was known.

        Returns:
            Their keys; each is returned once.
        """
        keys = [key for _, key in self._suspected]
        self._suspected.clear()
        return keys

    def clear(self):
        """Forget all crashes."""
        self._crashes.clear()
        self._suspected.clear()

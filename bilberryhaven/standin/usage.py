"""Resource usage of a stand-in backend server, reported with a lag."""

import collections
import datetime

from bilberryhaven.agent import protocol
from bilberryhaven.standin import tasks

__all__ = ['UsageLog']

MAX_SAMPLES = 1000


class UsageLog:
    """Usage samples, taken at each report and returned only after a lag.

    Args:
        clock: The ``Clock`` that timestamps the samples.
        lag: Minimum age of a sample when it is reported, a timedelta.
    """

    def __init__(self, *, clock, lag):
        self._clock = clock
        self._lag = lag
        self._samples = collections.deque(maxlen=MAX_SAMPLES)

    def report(self, known_tasks, requests):
        """Take a sample and return the newest one that is as old as the lag.

        Args:
            known_tasks: The ``Task`` objects that are retained.
            requests: The ``RequestStatus`` of each running request.
        """
        now = self._clock.monotonic()
        self._samples.append((now, _build_items(known_tasks, requests)))
        reported = self._samples[0]
        while (
            len(self._samples) > 1 and self._samples[1][0] <= now - self._lag
        ):
            self._samples.popleft()
            reported = self._samples[0]
        taken_at, items = reported
        if now - taken_at < self._lag:
            return protocol.UsageReport(age_ms=0)
        age = (now - taken_at) // datetime.timedelta(milliseconds=1)
        return protocol.UsageReport(age_ms=age, usage=items)


def _build_items(known_tasks, requests):
    items = []
    for task in known_tasks:
        if task.state == tasks.TaskState.RUNNING:
            status = task.describe()
            items.append(
                protocol.UsageItem(
                    workload=status.workload,
                    job_id=status.id,
                    cpu=status.slots * status.share,
                    memory_mb=task.payload.memory_mb,
                    progress=status.progress,
                )
            )
    counts = collections.Counter(request.workload for request in requests)
    for workload, count in counts.items():
        items.append(protocol.UsageItem(workload=workload, load=count))
    return items

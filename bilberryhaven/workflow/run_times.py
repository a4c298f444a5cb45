"""Distribution of the run times of tasks.

The load that it answers: run times with a heavy tail, of which a mean says
little, and declared run times that are far off. The times are learnt by
queue and image, with the queue alone as the fall-back while few tasks of an
image have ended.
"""

import math

__all__ = ['RunTimes']

# Buckets grow by a factor of 2 ** (1 / BUCKETS_PER_OCTAVE).
BUCKETS_PER_OCTAVE = 4
SHORTEST_S = 0.01
# Number of runs after which the weight of an earlier one falls to 1 / e.
MEMORY_RUNS = 200
# Weights are rescaled before they exceed this value.
MAX_UNIT = 1e9
# Ended tasks of an image from which on its own distribution is used.
MIN_IMAGE_COUNT = 8
# Images whose distributions are kept; the least recent one is dropped.
MAX_IMAGES = 256


class RunTimes:
    """Run times by queue and image, held in the leader's memory only.

    A new leader knows none until tasks have ended.
    """

    def __init__(self):
        self._queues = {}
        self._images = {}

    def record(self, queue, seconds, *, image=''):
        """Add the run time of a task that has succeeded.

        Args:
            queue: Name of the queue.
            seconds: The run time.
            image: Image of the task, or empty.
        """
        self._queues.setdefault(queue, _Histogram()).add(seconds)
        if not image:
            return
        key = (queue, image)
        # Moved to the end of the dict, which is in order of use.
        histogram = self._images.pop(key, None) or _Histogram()
        histogram.add(seconds)
        self._images[key] = histogram
        if len(self._images) > MAX_IMAGES:
            del self._images[next(iter(self._images))]

    def count(self, queue, *, image=''):
        """Return the number of runs that the estimates rest on."""
        found = self._find(queue, image)
        return found.count if found else 0

    def find(self, queue, *, image=''):
        """Return the mean in seconds, or None if no task has ended."""
        found = self._find(queue, image)
        return found.mean if found else None

    def quantile(self, queue, share, *, image=''):
        """Return the time that a share of the tasks don't exceed.

        Args:
            queue: Name of the queue.
            share: The share, between 0 and 1.
            image: Image of the task, or empty.

        Returns:
            The time in seconds, or None if no task has ended.
        """
        found = self._find(queue, image)
        return found.quantile(share) if found else None

    def remaining(self, queue, age_s, share, *, image=''):
        """Return a quantile of the remaining time of a run of a given age.

        Beyond all known run times, a tail that falls with the inverse of the
        time is assumed: the longer a run has taken, the longer it will take.

        Args:
            queue: Name of the queue.
            age_s: Age of the run in seconds.
            share: Share of such runs that take no longer.
            image: Image of the task, or empty.

        Returns:
            The time in seconds, or None if no task has ended.
        """
        found = self._find(queue, image)
        return found.remaining(age_s, share) if found else None

    def _find(self, queue, image):
        found = self._images.get((queue, image))
        if found is not None and found.count >= MIN_IMAGE_COUNT:
            return found
        return self._queues.get(queue)


class _Histogram:
    """Weighted run times in buckets of equal relative width.

    Attributes:
        count: Number of runs that were added.
    """

    def __init__(self):
        self.count = 0
        # [weight, weighted sum of the times] by number of the bucket.
        self._buckets = {}
        # The same over all buckets: the mean is needed far more often.
        self._sums = [0.0, 0.0]
        # Weight of the next run; it grows instead of decaying all others.
        self._unit = 1.0

    @property
    def mean(self):
        """Mean run time in seconds."""
        weight, total = self._sums
        return total / weight

    def add(self, seconds):
        """Add a run time."""
        seconds = max(seconds, SHORTEST_S)
        number = int(math.log2(seconds / SHORTEST_S) * BUCKETS_PER_OCTAVE)
        bucket = self._buckets.setdefault(number, [0.0, 0.0])
        for sums in (bucket, self._sums):
            sums[0] += self._unit
            sums[1] += self._unit * seconds
        self.count += 1
        self._unit *= 1 + 1 / MEMORY_RUNS
        if self._unit > MAX_UNIT:
            self._rescale()

    def quantile(self, share):
        """Return the time that ``share`` of the runs don't exceed."""
        return _find_quantile(self._list_means(), share)

    def remaining(self, age_s, share):
        """Return the quantile ``share`` of the time left after ``age_s``."""
        longer = [row for row in self._list_means() if row[0] > age_s]
        if sum(weight for _, weight in longer) < self._unit / 2:
            return age_s * share / (1 - share)
        return _find_quantile(longer, share) - age_s

    def _list_means(self):
        """Return (mean time, weight) pairs, shortest first."""
        return [
            (total / weight, weight)
            for _, (weight, total) in sorted(self._buckets.items())
        ]

    def _rescale(self):
        for sums in (*self._buckets.values(), self._sums):
            sums[0] /= self._unit
            sums[1] /= self._unit
        self._unit = 1.0


def _find_quantile(rows, share):
    left = share * sum(weight for _, weight in rows)
    for seconds, weight in rows:
        left -= weight
        if left <= 0:
            return seconds
    return rows[-1][0]

"""Alternative attribution of late usage reports, for comparison."""

import dataclasses

from bench import _scenario
from bilberryhaven.systems import interference
from bilberryhaven.systems import learning

__all__ = ['LEARNERS', 'compute_effect_error']

WINDOW_LENGTH_S = 5.0
IDLE_TIMEOUT_S = 15.0


class ArrivalLearning(learning.LearningSystem):
    """Attributes a report to the jobs placed when the report arrives."""

    def _find_counts(self, entry, at):
        if not self.memory.history.find(entry.name, at):
            self.memory.late_reports += 1
        return entry.compute_effective_counts()


@dataclasses.dataclass(kw_only=True, slots=True)
class _Window:
    end: float
    latencies: list = dataclasses.field(default_factory=list)
    loads: list = dataclasses.field(default_factory=list)
    counts: dict = dataclasses.field(default_factory=dict)


class WatermarkLearning(learning.LearningSystem):
    """Learns from event-time windows that are closed by a watermark.

    The method follows 'Time in Apache Flink: watermarks, idle partitions,
    state TTL and replay'. The watermark is the minimum of the newest event
    times of all instances that are not idle. A report for a window that the
    watermark has passed is counted as late and learned from individually.
    """

    def __init__(self, *, memory=None):
        super().__init__(memory=memory)
        self._windows = {}
        self._newest_event_times = {}
        self._last_report_at = {}
        self._watermark = 0.0

    def run(self, world):
        """Process the reports, then close windows behind the watermark."""
        super().run(world)
        now = world.now.timestamp()
        event_times = [
            self._newest_event_times[name]
            for name, reported_at in self._last_report_at.items()
            if now - reported_at < IDLE_TIMEOUT_S
        ]
        self._watermark = max(self._watermark, min(event_times, default=0.0))
        for key, window in list(self._windows.items()):
            if window.end <= self._watermark:
                del self._windows[key]
                self._close_window(key, window, now)
        return []

    def _learn_service(self, instance, usage, now):
        at = now - usage.age_ms / 1000
        self._last_report_at[instance] = now
        self._newest_event_times[instance] = max(
            at, self._newest_event_times.get(instance, 0.0)
        )
        start = at // WINDOW_LENGTH_S * WINDOW_LENGTH_S
        if start + WINDOW_LENGTH_S <= self._watermark:
            self.memory.late_reports += 1
            super()._learn_service(instance, usage, now)
            return
        self._learn_load(instance, usage)
        self.memory.reported_instances[instance] = None
        entry = self.memory.fleet.nodes[instance]
        counts = self._find_counts(entry, at)
        if counts is not None:
            key = (instance, usage.workload, start)
            window = self._windows.setdefault(
                key, _Window(end=start + WINDOW_LENGTH_S)
            )
            window.latencies.append(usage.latency_ms)
            window.loads.append(usage.load)
            for name, count in counts.items():
                window.counts[name] = window.counts.get(name, 0) + count

    def _close_window(self, key, window, now):
        size = len(window.latencies)
        self.memory.interference.observe(
            key[1],
            sum(window.loads) / size,
            {name: count / size for name, count in window.counts.items()},
            sum(window.latencies) / size,
            now,
        )


LEARNERS = {
    'arrival': ArrivalLearning,
    'event_time': learning.LearningSystem,
    'watermark': WatermarkLearning,
}


def compute_effect_error(model):
    """Return the mean absolute error of the learned effects."""
    errors = []
    for service in _scenario.BASE_MS:
        for task in _scenario.TASKS:
            for band in (1, 2):
                load = (band + 0.5) / interference.BANDS
                expected = _scenario.compute_effect(service, task.name, load)
                estimate = model.get_effect(service, task.name, band)
                errors.append(abs(estimate - expected))
    return sum(errors) / len(errors)

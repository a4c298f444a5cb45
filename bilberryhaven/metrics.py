"""Metrics of a process in the Prometheus text format."""

import threading

import aioprometheus

__all__ = ['Metrics']

PREFIX = 'bilberryhaven_'
ACCEPTED = ['text/plain']


class Metrics:
    """Counters, gauges and histograms, created at first use.

    The library's collectors are not thread-safe, so each update takes a lock.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._collectors = {}
        self._lock = threading.Lock()

    def count(self, name, doc, *, amount=1, **labels):
        """Add ``amount`` to a counter."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Counter, name, doc)
            collector.add(labels, amount)

    def set(self, name, doc, value, **labels):
        """Set a gauge."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Gauge, name, doc)
            collector.set(labels, value)

    def observe(self, name, doc, value, **labels):
        """Add a value, such as a duration in seconds, to a histogram."""
        with self._lock:
            collector = self._get_collector(aioprometheus.Histogram, name, doc)
            collector.observe(labels, value)

    def render(self):
        """Return the exposition page as a (body bytes, headers) pair."""
        with self._lock:
            return aioprometheus.render(self._registry, ACCEPTED)

    def _get_collector(self, cls, name, doc):
        collector = self._collectors.get(name)
        if collector is None:
            collector = cls(PREFIX + name, doc, registry=self._registry)
            self._collectors[name] = collector
        return collector

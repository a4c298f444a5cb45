"""Calls a function at a fixed interval."""

import threading

__all__ = ['Ticker']


class Ticker:
    """A thread that calls ``func`` every ``interval`` until it is stopped.

    Args:
        interval: Time between calls, a timedelta.
        func: Function without arguments.
    """

    def __init__(self, *, interval, func):
        self._interval = interval.total_seconds()
        self._func = func
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='ticker', daemon=True
        )

    def start(self):
        """Start to call."""
        self._thread.start()

    def stop(self):
        """Call no more."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.is_set():
            self._func()
            self._stopped.wait(self._interval)

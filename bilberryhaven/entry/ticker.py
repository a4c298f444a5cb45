"""Calls a function at a fixed interval."""

import threading

from bilberryhaven import log

__all__ = ['Ticker']

_logger = log.get_logger('ticker')


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
            self._call()
            self._stopped.wait(self._interval)

    def _call(self):
        """Call once; a failure must not end the calls to come."""
        try:
            self._func()
        except Exception:  # noqa: BLE001
            if not self._stopped.is_set():
                _logger.exception('a regular call failed')

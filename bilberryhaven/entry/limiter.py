"""Bound on the calls of one kind that an entry relays at a time."""

import contextlib
import threading

from bilberryhaven import errors

__all__ = ['ConcurrencyLimiter']


class ConcurrencyLimiter:
    """Refuses calls beyond a limit at once.

    Relayed calls wait for the leader. Without a bound they would take all
    threads while it is away, and callers' requests would wait behind them.

    Args:
        limit: Calls at a time.
        step: What the calls are for, named in errors.
    """

    def __init__(self, *, limit, step):
        self._slots = threading.BoundedSemaphore(limit)
        self._step = step

    @contextlib.contextmanager
    def enter(self):
        """Hold one of the places while the context lasts.

        Raises:
            OverloadError: All places are taken.
        """
        if not self._slots.acquire(blocking=False):
            raise errors.OverloadError(
                'too many calls wait for the leader',
                step=self._step,
                retry_after=1,
            )
        try:
            yield
        finally:
            self._slots.release()

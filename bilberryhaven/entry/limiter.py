"""Concurrency limits for the calls that an entry relays."""

import contextlib
import threading

from bilberryhaven import errors

__all__ = ['ConcurrencyLimiter']


class ConcurrencyLimiter:
    """Rejects calls beyond a concurrency limit without queueing them.

    Relayed calls block on the leader. Without a limit they would occupy all
    server threads while the leader is unavailable, and callers' requests
    would wait behind them.

    Args:
        limit: Maximum number of concurrent calls.
        step: Name of the operation, reported in errors.
    """

    def __init__(self, *, limit, step):
        self._slots = threading.BoundedSemaphore(limit)
        self._step = step

    @contextlib.contextmanager
    def enter(self):
        """Hold one of the slots for the duration of the context.

        Raises:
            OverloadError: All slots are in use.
        """
        if not self._slots.acquire(blocking=False):
            raise errors.OverloadError(
                'too many calls are waiting for the leader',
                step=self._step,
                retry_after=1,
            )
        try:
            yield
        finally:
            self._slots.release()

"""Polls that the leader holds until there are orders for the agent."""

import collections
import concurrent.futures
import datetime
import threading
import time

from bilberryhaven import clock as clocks
from bilberryhaven import log

__all__ = ['HeldPolls']

# Threads that build and send the replies; no reply waits for anything.
RESPONDERS = 8
# Polls that expire shortly after each other are completed together.
MIN_SLEEP_S = 0.02

_logger = log.get_logger('workflow')


class HeldPolls:
    """Holds polls without a thread each, and completes them.

    Args:
        max_wait: Longest time for which a poll is held, a timedelta.
        clock: The ``Clock``; it must run while polls are held.
    """

    def __init__(self, *, max_wait, clock=None):
        self._max_wait = max_wait
        self._clock = clock or clocks.SystemClock()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            RESPONDERS, thread_name_prefix='poll'
        )
        # Every poll is held equally long, so the oldest one expires first.
        self._held = collections.deque()
        self._thread = None
        self._wake = threading.Event()
        self._lock = threading.Lock()
        self._stopping = False

    def stop(self):
        """Complete all held polls and stop."""
        self._stopping = True
        self._wake.set()
        while self._held:
            self._held.popleft()[1].complete()
        self._executor.shutdown(wait=False)

    def hold(self, agent_session, request, build_reply):
        """Reply once there are orders, the session closes or time is up.

        Args:
            agent_session: The ``Session`` of the agent.
            request: The ``Poll``.
            build_reply: Function without arguments that returns the reply.

        Returns:
            A future of the reply.
        """
        poll = _HeldPoll(build_reply=build_reply, executor=self._executor)
        waits = agent_session.subscribe(
            request.feed, request.seen, poll.complete
        )
        if not waits or not self._max_wait:
            poll.complete()
        else:
            expires_at = self._clock.monotonic() + self._max_wait
            self._held.append((expires_at, poll))
            self._start_thread()
        return poll.future

    def _start_thread(self):
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name='held polls', daemon=True
                )
                self._thread.start()
        self._wake.set()

    def _run(self):
        while not self._stopping:
            self._wake.wait()
            self._wake.clear()
            while self._held and not self._stopping:
                now = self._clock.monotonic()
                remaining = self._held[0][0] - now
                if remaining <= datetime.timedelta():
                    self._held.popleft()[1].complete()
                else:
                    time.sleep(max(remaining.total_seconds(), MIN_SLEEP_S))


class _HeldPoll:
    """One poll, completed once.

    Attributes:
        future: Future of the reply.
    """

    def __init__(self, *, build_reply, executor):
        self.future = concurrent.futures.Future()
        self._build_reply = build_reply
        self._executor = executor
        self._lock = threading.Lock()
        self._completed = False

    def complete(self):
        """Build the reply on another thread, unless that was done before."""
        with self._lock:
            if self._completed:
                return
            self._completed = True
        try:
            self._executor.submit(self._reply)
        except RuntimeError:
            # The executor was shut down because the process is stopping.
            _logger.debug('a held poll gets no reply; the process stops')

    def _reply(self):
        try:
            reply = self._build_reply()
        except Exception as error:  # noqa: BLE001
            # The server logs it and reports it to the agent.
            self.future.set_exception(error)
        else:
            self.future.set_result(reply)

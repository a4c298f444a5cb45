"""Client of the leader: finds it among the control instances."""

import datetime
import threading

from bilberryhaven import errors

__all__ = ['LeaderClient']

ATTEMPT_TIMEOUT = datetime.timedelta(seconds=2)
INITIAL_BACKOFF = datetime.timedelta(milliseconds=50)
# Two instances that name each other must not keep the caller busy.
REDIRECT_DELAY = datetime.timedelta(milliseconds=2)
MAX_BACKOFF = datetime.timedelta(milliseconds=500)


class LeaderClient:
    """Sends messages to the leader, wherever it is.

    Args:
        addresses: HOST:PORT of the control instances.
        client: A ``wire`` client.
        clock: Source of time.
        attempt_timeout: Longest wait for one control instance.
    """

    def __init__(
        self, *, addresses, client, clock, attempt_timeout=ATTEMPT_TIMEOUT
    ):
        self._addresses = list(addresses)
        self._attempt_timeout = attempt_timeout
        self._client = client
        self._clock = clock
        self._leader = ''
        self._next_index = 0
        self._lock = threading.Lock()
        self._closed = threading.Event()

    def send(self, msg, *, timeout, step, repeatable=True):
        """Send ``msg`` to the leader and return its reply.

        Args:
            msg: A typed message.
            timeout: Longest time for all attempts.
            step: What the message is for.
            repeatable: Whether it may be sent again after its outcome is
                unknown.

        Raises:
            UnavailableError: No leader was reached in time.
            PeerError: The answer was lost.
            BilberryhavenError: The leader refused.
        """
        deadline = self._clock.monotonic() + timeout
        backoff = INITIAL_BACKOFF
        last = None
        outcome = errors.Outcome.NOT_RUN
        while not self._closed.is_set():
            remaining = deadline - self._clock.monotonic()
            if remaining <= datetime.timedelta():
                break
            address = self._select_address()
            try:
                return self._client.send(
                    address,
                    msg,
                    timeout=min(remaining, self._attempt_timeout),
                    step=step,
                )
            except errors.NotLeaderError as error:
                last = error
                self._check_repeatable(error, repeatable)
                if self._set_leader(address, error.peer):
                    self._closed.wait(REDIRECT_DELAY.total_seconds())
                    continue
            except (errors.PeerError, errors.DeadlineError) as error:
                last = error
                self._clear_leader(address)
                self._check_repeatable(error, repeatable)
            if last.outcome != errors.Outcome.NOT_RUN:
                outcome = errors.Outcome.UNKNOWN
            self._closed.wait(min(backoff, remaining).total_seconds())
            backoff = min(2 * backoff, MAX_BACKOFF)
        raise _build_unavailable(last, outcome, step)

    def set_addresses(self, addresses):
        """Use these addresses of control instances from now on."""
        with self._lock:
            if addresses:
                self._addresses = list(addresses)

    def close(self):
        """End all attempts."""
        self._closed.set()

    @staticmethod
    def _check_repeatable(error, repeatable):
        """Raise ``error`` where the message must not be sent again."""
        lost = error.outcome != errors.Outcome.NOT_RUN
        if lost and not repeatable:
            raise error

    def _select_address(self):
        with self._lock:
            if self._leader:
                return self._leader
            if not self._addresses:
                raise errors.UnavailableError(
                    'the settings name no control instance', step='find leader'
                )
            self._next_index += 1
            return self._addresses[self._next_index % len(self._addresses)]

    def _set_leader(self, asked, named):
        """Remember the leader that was named; return whether it is new."""
        with self._lock:
            known = bool(named) and named != asked
            self._leader = named if known else ''
            return known

    def _clear_leader(self, address):
        with self._lock:
            if self._leader == address:
                self._leader = ''


def _build_unavailable(last, outcome, step):
    text = 'no leader was reached'
    if last is not None:
        text = f'{text}; last: {last.message}'
    return errors.UnavailableError(
        text,
        step=step,
        peer=last.peer if last else '',
        outcome=outcome,
        retry_after=1,
    )

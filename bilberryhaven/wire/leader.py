"""Client of the leader, which it finds among the control instances."""

import datetime
import threading

from bilberryhaven import border
from bilberryhaven import errors

__all__ = ['LeaderClient']

ATTEMPT_TIMEOUT = datetime.timedelta(seconds=2)
INITIAL_BACKOFF = datetime.timedelta(milliseconds=50)
# Avoids a busy loop when two instances redirect to each other.
REDIRECT_DELAY = datetime.timedelta(milliseconds=2)
MAX_BACKOFF = datetime.timedelta(milliseconds=250)


class LeaderClient:
    """Sends messages to the current leader.

    Args:
        list_addresses: Function that returns the HOST:PORT of each control
            instance to ask, the most promising ones first.
        client: A ``wire.client.Client``.
        clock: Source of time.
        attempt_timeout: Longest wait for one control instance, a timedelta.
    """

    def __init__(
        self,
        *,
        list_addresses,
        client,
        clock,
        attempt_timeout=ATTEMPT_TIMEOUT,
    ):
        self._list_addresses = list_addresses
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
            msg: A typed message, or a function that builds it for each
                attempt.
            timeout: Longest time for all attempts, a timedelta.
            step: Purpose of the message, named in errors.
            repeatable: Whether it may be sent again after an attempt with an
                unknown outcome.

        Raises:
            UnavailableError: No leader was reached in time.
            PeerError: The answer was lost and the message is not repeatable.
            BilberryhavenError: The leader refused. The outcome is unknown if
                an earlier attempt may have been executed.
        """
        deadline = self._clock.monotonic() + timeout
        backoff = INITIAL_BACKOFF
        last_error = None
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
                last_error = error
                self._check_repeatable(error, repeatable)
                if self._set_leader(address, error.peer):
                    self._closed.wait(REDIRECT_DELAY.total_seconds())
                    continue
            except (errors.PeerError, errors.DeadlineError) as error:
                last_error = error
                self._clear_leader(address)
                self._check_repeatable(error, repeatable)
            except errors.BilberryhavenError as error:
                if error.outcome == errors.Outcome.NOT_RUN:
                    error.outcome = outcome
                raise
            if last_error.outcome != errors.Outcome.NOT_RUN:
                outcome = errors.Outcome.UNKNOWN
            self._closed.wait(min(backoff, remaining).total_seconds())
            backoff = min(2 * backoff, MAX_BACKOFF)
        raise _build_unavailable(last_error, outcome, step)

    def close(self):
        """Stop all attempts."""
        self._closed.set()

    @staticmethod
    def _check_repeatable(error, repeatable):
        """Raise ``error`` if the message must not be sent again."""
        may_have_run = error.outcome != errors.Outcome.NOT_RUN
        if may_have_run and not repeatable:
            raise error

    def _select_address(self):
        with self._lock:
            if self._leader:
                return self._leader
            addresses = self._list_addresses()
            if not addresses:
                raise errors.UnavailableError(
                    'no control instance is configured', step='find leader'
                )
            self._next_index += 1
            return addresses[self._next_index % len(addresses)]

    def _set_leader(self, asked, named):
        """Store the leader named by ``asked``; return whether it is new."""
        with self._lock:
            known = _is_address(named) and named != asked
            self._leader = named if known else ''
            return known

    def _clear_leader(self, address):
        with self._lock:
            if self._leader == address:
                self._leader = ''


def _is_address(text):
    try:
        border.parse_peer(text)
    except errors.OptionError:
        return False
    return True


def _build_unavailable(last_error, outcome, step):
    text = 'no leader was reached'
    if last_error is not None:
        text = f'{text}; last error: {last_error.message}'
    return errors.UnavailableError(
        text,
        step=step,
        peer=last_error.peer if last_error else '',
        outcome=outcome,
        retry_after=1,
    )

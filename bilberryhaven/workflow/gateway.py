"""Client for workflow requests to the leader, usable in any process."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import message

__all__ = ['Gateway']

# Callers repeat requests that end in these errors without harm, so the errors
# are not logged.
_UNLOGGED_ERRORS = (errors.GoneError, errors.NotFoundError)

NO_TIME = clocks.seconds(0)

_logger = log.get_logger('gateway')


class Gateway:
    """Sends requests about workflows to the leader.

    Every request is idempotent: workflows are identified by id, catalogs by
    version.

    Args:
        leader: A ``LeaderClient``.
        clock: The ``Clock``, or None for the system's.
    """

    def __init__(self, *, leader, clock=None):
        self._leader = leader
        self._clock = clock or clocks.SystemClock()

    def send(self, request, *, timeout, step, sent_after=None):
        """Return the reply to ``request``.

        Args:
            request: A request of ``workflow.message``.
            timeout: Longest wait as a timedelta.
            step: Name of the operation, for error messages.
            sent_after: Steady time, a timedelta, before which the request
                from outside that this passes on can't have been sent; None if
                that is of no importance.

        Raises:
            UnavailableError: No leader answered in time; ``outcome`` says
                whether the request may have been executed.
            OutdatedError: It may be older than what it would undo.
            PeerError: The reply is not a ``WorkReply``.
            BilberryhavenError: The leader refused the request.
        """
        wrapped = wire_message.WorkRequest(body=message.encode(request))
        if sent_after is not None:
            wrapped = wrapped.forward(sent_after, self._clock)
        try:
            reply = self._send(wrapped, timeout, step)
        except errors.BilberryhavenError as error:
            if not isinstance(error, _UNLOGGED_ERRORS):
                self._log_refusal(request, timeout, error)
            raise
        if not isinstance(reply, wire_message.WorkReply):
            raise errors.PeerError(
                f'expected a WorkReply, got {type(reply).__name__}', step=step
            )
        return message.decode_reply(reply.body)

    def _send(self, wrapped, timeout, step):
        until = self._clock.monotonic() + timeout
        try:
            return self._leader.send(wrapped, timeout=timeout, step=step)
        except errors.OutdatedError as error:
            left = until - self._clock.monotonic()
            if error.outcome != errors.Outcome.NOT_RUN or left <= NO_TIME:
                raise
        # The connection to the leader may have been idle for long, so that
        # the leader could not exclude that the message was held up on it. The
        # rejection has shown that it was not.
        return self._leader.send(wrapped, timeout=left, step=step)

    def _log_refusal(self, request, timeout, error):
        # Polls and reports, which have no path, are retried, and their
        # senders log the loss of the leader.
        path = getattr(request, 'path', '')
        if not path and error.status >= 500:
            return
        log.log_decision(
            _logger,
            'refuse request',
            reason=error.message,
            request=type(request).__name__,
            path=path,
            code=error.code,
            outcome=str(error.outcome),
            peer=error.peer,
            waited_up_to_s=timeout.total_seconds(),
        )

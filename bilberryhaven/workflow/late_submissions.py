"""Submissions that may be older than a cancel of their workflow.

A caller that gets no answer to a submission may cancel the workflow at
another instance, where it isn't known. The submission may still arrive. It
is not accepted while the cancel is stored, and afterwards only if it was
certainly sent since the cancel.
"""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import cancellation

__all__ = ['LateSubmissions']

RETRY_AFTER_S = 1

_logger = log.get_logger('workflow')


class LateSubmissions:
    """Rejects submissions that may be older than a cancel of their id.

    The methods require that the state machine's lock is held.

    Args:
        state: The replicated tables.
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, state, clock, options):
        self._state = state
        self._clock = clock
        self._max_age = options.max_submission_age
        self._retention = options.ended_retention
        # Steady time at which each stored cancel arrived, in this term.
        self._arrivals = {}
        # No dropped cancel is newer.
        self._dropped_until = None
        self._began_at = clock.monotonic()
        self._log = log.BoundedLog(logger=_logger, clock=clock)
        self.outdated = 0

    def begin_term(self):
        """Forget what was noted in an earlier term."""
        self._began_at = self._clock.monotonic()
        self._arrivals = {}
        # Cancels that an earlier leader dropped are older than those that
        # are left, which are removed at their age.
        self._dropped_until = (
            self._began_at if self._state.cancellations.is_full else None
        )

    def note_cancel(self, workflow_id):
        """Note a cancel before it is proposed."""
        if len(self._arrivals) >= 2 * cancellation.MAX_CANCELLATIONS:
            self._arrivals = {
                key: at
                for key, at in self._arrivals.items()
                if key in self._state.cancellations
            }
        self._arrivals[workflow_id] = self._clock.monotonic()

    def note_dropped(self, ids):
        """Note cancels that were dropped to make room for newer ones."""
        for key in ids:
            arrived_at = self._arrivals.pop(key, self._began_at)
            self._raise_bound(arrived_at)

    def note_unknown_commit(self):
        """Note that a cancel was proposed whose commit is unknown.

        It may have dropped another one, unless there was room for many.
        """
        count = len(self._state.cancellations)
        if 2 * count >= cancellation.MAX_CANCELLATIONS:
            self._raise_bound(self._clock.monotonic())

    def _raise_bound(self, until):
        if self._dropped_until is None or until > self._dropped_until:
            self._dropped_until = until

    def check(self, workflow_id, relayed):
        """Check the submission of a workflow that isn't stored.

        Args:
            workflow_id: Its id.
            relayed: The ``Relayed`` message that the submission came with.

        Raises:
            RejectedError: The workflow was cancelled.
            OutdatedError: The submission may be older than a cancel that is
                no longer stored.
        """
        if workflow_id in self._state.cancellations:
            self.reject_cancelled(workflow_id, relayed)
        if relayed.sent_after is None:
            return
        now = self._clock.monotonic()
        limit = now - self._max_age
        if self._dropped_until is not None:
            limit = max(limit, self._dropped_until)
        if relayed.sent_after > limit:
            return
        self.outdated += 1
        self._log.warning(
            'outdated',
            'a submission may be older than a cancel of its workflow',
            decision='reject workflow',
            workflow=workflow_id,
            dropped_cancel_s=log.round_seconds(
                self._dropped_until and now - self._dropped_until
            ),
            **relayed.describe_sending(now),
        )
        raise errors.OutdatedError(
            'the submission may be older than a cancel of its workflow',
            step='accept workflow',
            request_id=workflow_id,
            retry_after=RETRY_AFTER_S,
        )

    def reject_cancelled(self, workflow_id, relayed):
        """Reject a submission of a workflow whose cancel is stored.

        Raises:
            RejectedError: Always.
        """
        log.log_decision(
            _logger,
            'reject workflow',
            reason='it was cancelled before',
            workflow=workflow_id,
            **relayed.describe_sending(self._clock.monotonic()),
        )
        raise errors.RejectedError(
            'the workflow was cancelled before it was submitted',
            step='accept workflow',
            request_id=workflow_id,
            retry_after=self._retention // clocks.seconds(1),
        )

"""Validation of agents' replies, and their conversion to errors."""

from bilberryhaven import errors
from bilberryhaven import util

__all__ = [
    'CALLER_ERROR_CODES',
    'TRANSIENT_ERROR_CODES',
    'build_deadline_error',
    'build_reply_error',
    'check_integrity',
    'is_instance_failure',
]

REFUSAL_CODES = frozenset({'overload', 'draining', 'refused', 'deadline'})
# With these codes a request may succeed on another instance once the view
# has been renewed.
TRANSIENT_ERROR_CODES = frozenset(
    {'unavailable', 'draining', 'lease_lapsed', 'peer'}
)
CALLER_ERROR_CODES = frozenset({'bad_input', 'not_found', 'conflict'})


def check_integrity(dispatch, reply):
    """Return an error if the reply is truncated, damaged or misdirected.

    Args:
        dispatch: The ``Dispatch`` that the reply belongs to.
        reply: The ``AdmitReply``.

    Returns:
        A ``TruncatedAnswerError``, or None where the reply is intact.
    """
    if reply.request_id != dispatch.request_id:
        problem = 'the reply belongs to another request'
    elif reply.code:
        return None
    elif reply.length != len(reply.body):
        problem = (
            f'response truncated: got {len(reply.body)} of '
            f'{reply.length} bytes'
        )
    elif reply.digest != util.compute_digest(reply.body):
        problem = 'the response body does not match its digest'
    else:
        return None
    return errors.TruncatedAnswerError(
        problem, step='dispatch', peer=dispatch.target.name
    )


def build_reply_error(dispatch, reply):
    """Convert an ``AdmitReply`` that has a code into an error."""
    error = errors.build_error(
        {
            'code': reply.code,
            'message': reply.message,
            'step': reply.step or 'admit',
            'peer': dispatch.target.name,
            'outcome': reply.outcome or errors.Outcome.UNKNOWN,
        }
    )
    if reply.retry_after_ms:
        error.retry_after = reply.retry_after_ms / 1000
    return error


def is_instance_failure(error):
    """Return whether ``error`` counts as a failure of the instance."""
    if error.code in CALLER_ERROR_CODES:
        return False
    refused = error.outcome == errors.Outcome.NOT_RUN
    return not (refused and error.code in REFUSAL_CODES)


def build_deadline_error(pending):
    """Return the error for a request whose deadline passed."""
    peer = pending.dispatch.target.name if pending.dispatch else ''
    return errors.DeadlineError(
        'the deadline passed before a response arrived',
        step=pending.step.value,
        peer=peer,
    )

"""Checks of agents' replies, and the errors that are made of them."""

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
# A renewed view may hold an instance that doesn't answer so.
TRANSIENT_ERROR_CODES = frozenset(
    {'unavailable', 'draining', 'lease_lapsed', 'peer'}
)
CALLER_ERROR_CODES = frozenset({'bad_input', 'not_found', 'conflict'})


def check_integrity(dispatch, reply):
    """Return the fault of a reply that isn't whole or isn't its own."""
    if reply.request_id != dispatch.request_id:
        problem = "another request's answer"
    elif reply.code:
        return None
    elif reply.length != len(reply.body):
        problem = f'{len(reply.body)} of {reply.length} bytes'
    elif reply.digest != util.compute_digest(reply.body):
        problem = 'the digest differs'
    else:
        return None
    return errors.TruncatedAnswerError(
        problem, step='dispatch', peer=dispatch.target.name
    )


def build_reply_error(dispatch, reply):
    """Return the error that an ``AdmitReply`` with a code carries."""
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
    """Return whether ``error`` speaks against the instance."""
    if error.code in CALLER_ERROR_CODES:
        return False
    refused = error.outcome == errors.Outcome.NOT_RUN
    return not (refused and error.code in REFUSAL_CODES)


def build_deadline_error(pending):
    """Return the error of a request whose deadline passed."""
    peer = pending.dispatch.target.name if pending.dispatch else ''
    return errors.DeadlineError(
        'the deadline passed before there was an answer',
        step=pending.step.value,
        peer=peer,
    )

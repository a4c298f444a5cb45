"""Exceptions with stable codes, and their form on the wire."""

import enum

__all__ = [
    'BadInputError',
    'BilberryhavenError',
    'ConflictError',
    'DamagedFileError',
    'DeadlineError',
    'DrainingError',
    'FencedError',
    'GoneError',
    'InternalError',
    'LeaseLapsedError',
    'MethodError',
    'NotFoundError',
    'NotLeaderError',
    'OptionError',
    'Outcome',
    'OverloadError',
    'PeerError',
    'RefusedError',
    'SelectorError',
    'SettingsError',
    'StorageError',
    'TruncatedAnswerError',
    'UnavailableError',
    'build_error',
    'get_codes',
]


class Outcome(enum.StrEnum):
    """What is known of the work that a failed call asked for."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class BilberryhavenError(Exception):
    """Base of all errors that leave a module.

    Args:
        message: What went wrong, for a person.
        step: The step at which it went wrong.
        peer: Name or address of the other side, if there was one.
        outcome: What is known of the work asked for.
        request_id: The request's id, if it belongs to one.
        retry_after: Seconds after which a retry may succeed.
    """

    code = 'internal'
    status = 500
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        message,
        *,
        step,
        peer='',
        outcome=None,
        request_id='',
        retry_after=None,
    ):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.request_id = request_id
        self.retry_after = retry_after
        if outcome is not None:
            self.outcome = Outcome(outcome)

    def __str__(self):
        where = f'{self.step} with {self.peer}' if self.peer else self.step
        return f'{self.code}: {self.message} (at {where})'

    def to_dict(self):
        """Return the error's form in JSON answers."""
        return {
            'code': self.code,
            'message': self.message,
            'step': self.step,
            'peer': self.peer,
            'outcome': str(self.outcome),
            'request_id': self.request_id,
        }


class InternalError(BilberryhavenError):
    """A fault in this program."""

    outcome = Outcome.UNKNOWN


class BadInputError(BilberryhavenError):
    """Input that can't be read or isn't allowed."""

    code = 'bad_input'
    status = 400


class OptionError(BadInputError):
    """An option has a value that isn't allowed."""

    code = 'bad_option'


class SelectorError(BadInputError):
    """A selector can't be parsed; the message points at the column."""

    code = 'bad_selector'


class SettingsError(BadInputError):
    """A settings file can't be used."""

    code = 'bad_settings'


class NotFoundError(BilberryhavenError):
    """Nothing has the name or id that was given."""

    code = 'not_found'
    status = 404


class GoneError(BilberryhavenError):
    """There is no workflow with this id, or none any more."""

    code = 'gone'
    status = 410


class MethodError(BilberryhavenError):
    """The path exists but doesn't take this method."""

    code = 'bad_method'
    status = 405


class ConflictError(BilberryhavenError):
    """The change expects a version that isn't the current one."""

    code = 'conflict'
    status = 409


class RefusedError(BilberryhavenError):
    """The work isn't allowed in the current state."""

    code = 'refused'
    status = 409


class FencedError(BilberryhavenError):
    """A newer epoch has replaced the sender's."""

    code = 'fenced'
    status = 409


class OverloadError(BilberryhavenError):
    """A queue or limit is full; the work wasn't started."""

    code = 'overload'
    status = 503


class DrainingError(BilberryhavenError):
    """The process is stopping and takes no new work."""

    code = 'draining'
    status = 503


class LeaseLapsedError(BilberryhavenError):
    """The process's lease ran out, so it admits nothing new."""

    code = 'lease_lapsed'
    status = 503


class NotLeaderError(BilberryhavenError):
    """This control instance isn't the leader; ``peer`` is, if known."""

    code = 'not_leader'
    status = 503


class UnavailableError(BilberryhavenError):
    """No process that could do the work is reachable."""

    code = 'unavailable'
    status = 503


class DeadlineError(BilberryhavenError):
    """The deadline passed before there was an answer."""

    code = 'deadline'
    status = 504
    outcome = Outcome.UNKNOWN


class PeerError(BilberryhavenError):
    """The peer couldn't be reached or its answer was lost."""

    code = 'peer'
    status = 502
    outcome = Outcome.UNKNOWN


class TruncatedAnswerError(PeerError):
    """The answer's length or digest doesn't match its body."""

    code = 'truncated_answer'


class StorageError(BilberryhavenError):
    """A file can't be written or synced."""

    code = 'storage'
    outcome = Outcome.UNKNOWN


class DamagedFileError(StorageError):
    """A file holds bytes that fail their check."""

    code = 'damaged_file'


def _list_classes(cls):
    yield cls
    for sub in cls.__subclasses__():
        yield from _list_classes(sub)


def get_codes():
    """Return each code's class, by code."""
    return {cls.code: cls for cls in _list_classes(BilberryhavenError)}


def build_error(fields):
    """Return the exception whose ``to_dict`` form is ``fields``.

    Args:
        fields: Mapping as made by ``BilberryhavenError.to_dict``.
    """
    cls = get_codes().get(fields.get('code'), InternalError)
    return cls(
        fields.get('message', ''),
        step=fields.get('step', ''),
        peer=fields.get('peer', ''),
        outcome=fields.get('outcome') or None,
        request_id=fields.get('request_id', ''),
    )

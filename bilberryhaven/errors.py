"""Exceptions with stable error codes and their serialised form."""

import enum

__all__ = [
    'BadInputError',
    'BilberryhavenError',
    'ConflictError',
    'DamagedFileError',
    'DeadlineError',
    'DrainingError',
    'FencedError',
    'FolderInUseError',
    'GoneError',
    'InternalError',
    'LeaseLapsedError',
    'MethodError',
    'NotFoundError',
    'NotLeaderError',
    'NotListeningError',
    'OptionError',
    'Outcome',
    'OutdatedError',
    'OverloadError',
    'PeerError',
    'RefusedError',
    'RejectedError',
    'SelectorError',
    'SettingsError',
    'StorageError',
    'TruncatedAnswerError',
    'UnavailableError',
    'UnknownPoolError',
    'build_error',
    'get_codes',
]


class Outcome(enum.StrEnum):
    """Whether the work requested by a failed call has run."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class BilberryhavenError(Exception):
    """Base class of all errors that cross a module boundary.

    Args:
        message: Description of the error, for a person.
        step: Name of the step that failed.
        peer: Name or address of the remote process, if there is one.
        outcome: Whether the requested work has run, an ``Outcome`` or its
            value; the class's outcome by default.
        request_id: Id of the request, if the error belongs to one.
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
        """Return the error as a mapping for JSON responses."""
        return {
            'code': self.code,
            'message': self.message,
            'step': self.step,
            'peer': self.peer,
            'outcome': str(self.outcome),
            'request_id': self.request_id,
        }


class InternalError(BilberryhavenError):
    """An unexpected failure in this program."""

    outcome = Outcome.UNKNOWN


class BadInputError(BilberryhavenError):
    """Input that can't be parsed or is not allowed."""

    code = 'bad_input'
    status = 400


class OptionError(BadInputError):
    """An option has an invalid value."""

    code = 'bad_option'


class SelectorError(BadInputError):
    """A selector can't be parsed; the message gives the column."""

    code = 'bad_selector'


class SettingsError(BadInputError):
    """A settings file can't be read or is invalid."""

    code = 'bad_settings'


class NotFoundError(BilberryhavenError):
    """No entity has the given name or id."""

    code = 'not_found'
    status = 404


class GoneError(BilberryhavenError):
    """The workflow id is unknown or the workflow is no longer stored."""

    code = 'gone'
    status = 410


class NotListeningError(GoneError):
    """A connection to the address was refused."""

    code = 'not_listening'


class MethodError(BilberryhavenError):
    """The path exists but does not support this HTTP method."""

    code = 'bad_method'
    status = 405


class ConflictError(BilberryhavenError):
    """The change expects a version that is not the current one."""

    code = 'conflict'
    status = 409


class RefusedError(BilberryhavenError):
    """The operation is not allowed in the current state."""

    code = 'refused'
    status = 409


class FencedError(BilberryhavenError):
    """The sender's epoch was superseded by a newer one."""

    code = 'fenced'
    status = 409


class OverloadError(BilberryhavenError):
    """A queue or limit is full; the work was not started."""

    code = 'overload'
    status = 503


class RejectedError(BilberryhavenError):
    """A workflow can't be served at present; it was not accepted."""

    code = 'rejected'
    status = 503


class DrainingError(BilberryhavenError):
    """The process is draining and accepts no new work."""

    code = 'draining'
    status = 503


class LeaseLapsedError(BilberryhavenError):
    """The process's lease expired, so it admits no new work."""

    code = 'lease_lapsed'
    status = 503


class NotLeaderError(BilberryhavenError):
    """This control instance is not the leader; ``peer`` is, if known."""

    code = 'not_leader'
    status = 503


class UnavailableError(BilberryhavenError):
    """No process that can do the work is reachable."""

    code = 'unavailable'
    status = 503


class OutdatedError(UnavailableError):
    """A request may be older than what it would undo; it may be repeated."""

    code = 'outdated'


class UnknownPoolError(BilberryhavenError):
    """The catalog in force doesn't name the backend server's pool."""

    code = 'unknown_pool'
    status = 503


class DeadlineError(BilberryhavenError):
    """The deadline passed before an answer arrived."""

    code = 'deadline'
    status = 504
    outcome = Outcome.UNKNOWN


class PeerError(BilberryhavenError):
    """The peer was unreachable or its answer was lost."""

    code = 'peer'
    status = 502
    outcome = Outcome.UNKNOWN


class CutOffError(PeerError):
    """The peer closed the connection without an answer."""

    code = 'cut_off'


class TruncatedAnswerError(PeerError):
    """The answer's length or digest does not match its body."""

    code = 'truncated_answer'


class StorageError(BilberryhavenError):
    """A file can't be written or synced."""

    code = 'storage'
    outcome = Outcome.UNKNOWN


class FolderInUseError(StorageError):
    """Another process uses the data folder."""

    code = 'folder_in_use'


class DamagedFileError(StorageError):
    """A file has contents that fail an integrity check."""

    code = 'damaged_file'


def _list_classes(cls):
    yield cls
    for sub in cls.__subclasses__():
        yield from _list_classes(sub)


def get_codes():
    """Return the exception classes by error code."""
    return {cls.code: cls for cls in _list_classes(BilberryhavenError)}


def build_error(fields):
    """Return the exception that ``fields`` describes.

    Args:
        fields: Mapping as returned by ``BilberryhavenError.to_dict``.
    """
    cls = get_codes().get(fields.get('code'), InternalError)
    return cls(
        fields.get('message', ''),
        step=fields.get('step', ''),
        peer=fields.get('peer', ''),
        outcome=fields.get('outcome') or None,
        request_id=fields.get('request_id', ''),
    )

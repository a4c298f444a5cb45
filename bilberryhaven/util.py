"""Helper functions shared by several packages."""

import hashlib
import secrets

from bilberryhaven import errors

__all__ = ['compute_digest', 'create_id', 'parse_address']

ID_BYTES = 10
MAX_PORT = 65535


def create_id(prefix):
    """Return a new random id with the given prefix."""
    return f'{prefix}-{secrets.token_hex(ID_BYTES)}'


def compute_digest(body):
    """Return the hexadecimal digest of an answer's body of bytes."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def parse_address(text):
    """Return the (host, port) pair parsed from ``HOST:PORT``.

    Raises:
        OptionError: The text has no port, or one out of range.
    """
    host, sep, port = text.rpartition(':')
    if not sep or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise errors.OptionError(
            f'{text!r} is not an address; expected IP:PORT, such as '
            '127.0.0.1:7000',
            step='parse address',
        )
    return host, int(port)

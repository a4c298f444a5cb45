"""Helper functions shared by several packages."""

import hashlib
import secrets

from bilberryhaven import errors

__all__ = ['compute_digest', 'create_id', 'parse_address', 'shorten']

ID_BYTES = 10
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_SHOWN_CHARS = 200


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
    # Digits of other scripts are no port, nor is a number of any length.
    is_number = port.isascii() and port.isdigit()
    valid = is_number and len(port) <= MAX_PORT_DIGITS
    if not sep or not host or not valid or int(port) > MAX_PORT:
        raise errors.OptionError(
            f'{shorten(repr(text))} is not an address; expected IP:PORT, such '
            'as 127.0.0.1:7000',
            step='parse address',
        )
    return host, int(port)


def shorten(text):
    """Return ``text`` cut off at a length that fits into a log line."""
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f'{text[:MAX_SHOWN_CHARS]}...'

"""Bounded reading of answers, between the socket and the HTTP client.

The HTTP client reads lines, such as the size of a chunk and trailers,
without a bound, and its time-out starts again with each part. Here an
answer has a largest line, a largest size with all its framing, and a time by
which it has to be complete.
"""

import contextlib
import http.client
import io
import time
import traceback

import urllib3

from bilberryhaven.wire import intake

__all__ = [
    'AnswerTooLargeError',
    'Connection',
    'Pool',
    'PoolManager',
    'release_parts',
]

MAX_LINE_BYTES = 64 * 1024
# The largest lists that a leader sends to the entries of a large fleet have a
# few MiB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Answers up to this size are read without a claim on the process's memory.
UNCLAIMED_BYTES = 64 * 1024
# The library keeps an answer in parts, and joins them.
COPIES = 2


class AnswerTooLargeError(http.client.HTTPException):
    """An answer, or a line of it, is over its bound."""


def release_parts(error):
    """Release the parts of an answer that the frames of an error hold.

    Args:
        error: The error with which the reading of the answer has ended.
    """
    while error is not None:
        traceback.clear_frames(error.__traceback__)
        error = error.__cause__ or error.__context__


class _BoundedSource(io.RawIOBase):
    """Bytes of one answer, up to its largest size and its time."""

    def __init__(self, sock, until, max_bytes):
        super().__init__()
        self._sock = sock
        # Keeps the socket open until the answer is read.
        self._file = sock.makefile('rb', buffering=0)
        self._until = until
        self._timeout = sock.gettimeout()
        self._has_read = False
        self._max_bytes = max_bytes
        self._claimed_bytes = 0
        self.left_bytes = max_bytes

    def readable(self):
        return True

    def readinto(self, buffer):
        if not self.left_bytes:
            raise AnswerTooLargeError(f'over {self._max_bytes} bytes')
        # The first part has the time-out that the connection has set.
        if self._has_read and self._until is not None:
            left_s = self._until - time.monotonic()
            if left_s <= 0:
                raise TimeoutError('timed out: the answer is not complete')
            self._sock.settimeout(left_s)
        self._has_read = True
        size = min(len(buffer), self.left_bytes)
        count = self._sock.recv_into(memoryview(buffer)[:size])
        self.left_bytes -= count
        self._claim(self._max_bytes - self.left_bytes)
        return count

    def _claim(self, size):
        """Claim memory for what was read; several threads read answers."""
        if size <= UNCLAIMED_BYTES:
            return
        needed = COPIES * size
        if not intake.PROCESS.resize(self._claimed_bytes, needed):
            raise AnswerTooLargeError('no memory is left for answers')
        self._claimed_bytes = needed

    def close(self):
        if not self.closed:
            intake.PROCESS.resize(self._claimed_bytes, 0)
            self._claimed_bytes = 0
            # The next request on the connection is sent with it.
            with contextlib.suppress(OSError):
                self._sock.settimeout(self._timeout)
            self._file.close()
        super().close()


class _BoundedFile(io.BufferedReader):
    """Buffered bytes of one answer."""

    def __init__(self, source, max_bytes):
        super().__init__(source)
        self._max_bytes = max_bytes

    def readline(self, size=-1):
        if 0 <= size <= MAX_LINE_BYTES:
            return super().readline(size)
        line = super().readline(MAX_LINE_BYTES + 1)
        if len(line) > MAX_LINE_BYTES:
            raise AnswerTooLargeError(f'a line over {MAX_LINE_BYTES} bytes')
        return line

    def read(self, size=-1):
        # The library reserves the memory for all that is declared.
        if size is not None and size > self._max_bytes:
            raise AnswerTooLargeError(f'a body of {size} bytes')
        return super().read(size)


class _Response(http.client.HTTPResponse):
    """Response that is read within the bounds of its connection."""

    def __init__(self, sock, *args, until, max_bytes, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        source = _BoundedSource(sock, until, max_bytes)
        self.fp = _BoundedFile(source, max_bytes)


class Connection(urllib3.connection.HTTPConnection):
    """Connection whose time-out covers an answer up to its end.

    Attributes:
        max_answer_bytes: Largest size of an answer with its framing.
    """

    max_answer_bytes = MAX_ANSWER_BYTES

    def request(self, method, url, body=None, **kwargs):
        """Send a request whose answer is never decompressed.

        A body that is a function is built once the connection is open.
        """
        if callable(body):
            if self.sock is None:
                self.connect()
            body = body()
        super().request(
            method, url, body, **{**kwargs, 'decode_content': False}
        )

    def read_head(self, max_bytes):
        """Return the head of the next response, and read no further.

        It ends early if the server closes the connection.

        Args:
            max_bytes: Largest size of the head.

        Raises:
            AnswerTooLargeError: It is larger.
            OSError: It isn't complete in time, or the connection was reset.
        """
        source = _BoundedSource(self.sock, self._find_end(), max_bytes)
        with contextlib.closing(source):
            lines = [source.readline()]
            while lines[-1] not in (b'\r\n', b''):
                lines.append(source.readline())
        return b''.join(lines)

    def _find_end(self):
        """Return by when an answer has to be complete, or None."""
        if isinstance(self.timeout, (int, float)):
            return time.monotonic() + self.timeout
        return None

    def getresponse(self):
        """Return the response; its body is read within the same time."""
        until = self._find_end()
        # The library creates the response without a way to pass the time.
        self.response_class = lambda *args, **kwargs: _Response(
            *args, until=until, max_bytes=self.max_answer_bytes, **kwargs
        )
        return super().getresponse()


class Pool(urllib3.HTTPConnectionPool):
    """Connections to one address, whose answers are bounded."""

    ConnectionCls = Connection


class PoolManager(urllib3.PoolManager):
    """Pools to many addresses, whose answers are bounded."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {'http': Pool}

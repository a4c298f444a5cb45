"""Bounded reading of HTTP requests, between the socket and the parser.

A request is collected from the bytes of its connection without a thread that
waits for them. Each part is checked against its limit before it is kept, and
what the application never sees (chunk sizes, extensions, trailers) is not
kept at all. What two HTTP parsers could read differently is refused.
"""

import dataclasses
import re

from bilberryhaven import errors

__all__ = [
    'MESSAGE_HEAD',
    'CompleteRequest',
    'RefusedInputError',
    'RequestReader',
]

CRLF = b'\r\n'
BLANK_LINE = b'\r\n\r\n'
READ_BYTES = 16 * 1024
MAX_READ_BYTES = 128 * 1024
MAX_LENGTH_DIGITS = 16
# A chunk of a single byte has five bytes of framing.
FRAMING_PER_BYTE = 8
SPACES = b' \t'
# Estimates of the memory that a request occupies while it is served: its
# bytes and their copy; the name and the value of a header; and the values of
# a JSON body, by the marks that precede or follow each of them.
COPIES = 2
HEADER_COST_BYTES = 256
VALUE_COST_BYTES = 64
OBJECT_COST_BYTES = 512
# Messages between processes are no text.
MESSAGE_HEAD = b'POST /wire '

_HEAD = re.compile(
    rb'[^\r\n\0]++\r\n'
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]++:[^\r\n\0]*+\r\n)*+\r\n"
)
_SIZE = re.compile(rb'([0-9A-Fa-f]{1,16})(?:;[^\r\n\0]*+)?')


class RefusedInputError(Exception):
    """A request is refused; its connection is closed after the answer.

    Args:
        reason: Short name of the limit or rule, for metrics.
        status: Status line of the answer.
        error: The ``BilberryhavenError`` that the answer reports.
    """

    def __init__(self, *, reason, status, error):
        super().__init__(f'{reason}: {error}')
        self.reason = reason
        self.status = status
        self.error = error


def _refuse(reason, status, text):
    raise RefusedInputError(
        reason=reason,
        status=status,
        error=errors.BadInputError(text, step='read request'),
    )


def _refuse_malformed(text):
    _refuse('malformed', '400 Bad Request', text)


def _refuse_large(reason, text):
    _refuse(reason, '413 Content Too Large', text)


@dataclasses.dataclass(kw_only=True, frozen=True)
class CompleteRequest:
    """A request that has been received completely.

    Attributes:
        head: Request line and headers, with the blank line.
        body: The body without its transfer coding.
    """

    head: bytes
    body: bytes


class RequestReader:
    """Collects the requests of one connection.

    Args:
        line_bytes: Longest line: a request line, a header, the size of a
            chunk with its extensions, or a trailer.
        head_bytes: Largest request line with headers; also the largest sum
            of trailers.
        body_bytes: Largest body without its transfer coding.
        takes_messages: Whether the path of messages carries them; elsewhere
            its body may be text like any other.

    Attributes:
        wants_continue: Whether the sender waits for the interim response
            before it sends the body.
    """

    __slots__ = (
        '_body',
        '_body_bytes',
        '_buffer',
        '_framing',
        '_head',
        '_head_bytes',
        '_line_bytes',
        '_line_start',
        '_needed',
        '_next',
        '_scanned',
        '_takes_messages',
        '_trailers',
        'wants_continue',
    )

    def __init__(
        self, *, line_bytes, head_bytes, body_bytes, takes_messages=False
    ):
        self._takes_messages = takes_messages
        self._line_bytes = line_bytes
        self._head_bytes = head_bytes
        self._body_bytes = body_bytes
        self._buffer = bytearray()
        self._reset()

    def _reset(self):
        self._head = None
        self._body = b''
        self._needed = self._framing = self._scanned = self._trailers = 0
        # Where the first line of the head begins that isn't checked yet.
        self._line_start = 0
        self._next = self._read_head
        self.wants_continue = False

    @property
    def kept_bytes(self):
        """Number of bytes that are held."""
        return len(self._buffer) + len(self._body) + len(self._head or b'')

    @property
    def wanted_bytes(self):
        """Number of bytes to receive at once."""
        missing = self._needed - len(self._buffer)
        return min(max(missing, READ_BYTES), MAX_READ_BYTES)

    def feed(self, data):
        """Add received bytes; return whether a request is complete.

        Raises:
            RefusedInputError: The request exceeds a limit or is malformed.
        """
        self._buffer += data
        return self.advance()

    def advance(self):
        """Read on in what was received; return whether one is complete.

        Raises:
            RefusedInputError: As for ``feed``.
        """
        while self._next is not None:
            if not self._next():
                return False
        return True

    def take(self):
        """Return the ``CompleteRequest``, and begin the next one."""
        request = CompleteRequest(head=self._head, body=bytes(self._body))
        self._reset()
        return request

    def estimate_cost(self):
        """Return the memory that what is held needs, in bytes.

        A body is not decoded before that is granted.
        """
        cost = COPIES * self.kept_bytes
        head, body = self._head, self._body
        if head is None:
            return cost
        cost += HEADER_COST_BYTES * head.count(b'\n')
        is_message = self._takes_messages and head.startswith(MESSAGE_HEAD)
        if self._next is None and not is_message:
            values = body.count(b',') + body.count(b':') + body.count(b'[')
            cost += VALUE_COST_BYTES * values
            cost += OBJECT_COST_BYTES * body.count(b'{')
        return cost

    def clear(self):
        """Discard everything that is held."""
        self._buffer = bytearray()
        self._reset()

    def _read_head(self):
        buffer = self._buffer
        # Blank lines between requests are no part of one.
        while buffer.startswith(CRLF):
            del buffer[: len(CRLF)]
            self._line_start = self._scanned = 0
        end = buffer.find(BLANK_LINE, max(0, self._scanned - 3))
        size = len(buffer) if end < 0 else end + len(BLANK_LINE)
        if size > self._head_bytes:
            self._refuse_head(size)
        if size > self._line_bytes:
            self._check_lines(size)
        if end < 0:
            self._scanned = size
            return False
        self._head = head = bytes(memoryview(buffer)[:size])
        del buffer[:size]
        self._scanned = 0
        if _HEAD.fullmatch(head) is None:
            _refuse_malformed(
                'malformed request line or header; lines end in CRLF, and '
                'headers are not folded'
            )
        self._read_framing(head)
        return True

    def _refuse_head(self, size):
        line_end = self._buffer.find(CRLF, 0, size)
        if line_end < 0:
            self._refuse_request_line()
        _refuse_large('head', f'the headers exceed {self._head_bytes} bytes')

    def _refuse_request_line(self):
        _refuse(
            'line',
            '414 URI Too Long',
            f'the request line exceeds {self._line_bytes} bytes',
        )

    def _check_lines(self, size):
        start = self._line_start
        while start < size:
            end = self._buffer.find(CRLF, start, size)
            # The first half of its line break may be there already.
            length = (size - 1 if end < 0 else end) - start
            if length > self._line_bytes:
                if start == 0:
                    self._refuse_request_line()
                _refuse_large(
                    'line', f'a header exceeds {self._line_bytes} bytes'
                )
            if end < 0:
                return
            self._line_start = start = end + len(CRLF)

    def _read_framing(self, head):
        """Find out how the end of the body is marked."""
        lowered = head.lower()
        lengths = lowered.count(b'\ncontent-length:')
        codings = lowered.count(b'\ntransfer-encoding:')
        if lengths + codings > 1:
            _refuse_malformed('the length of the body is given twice')
        if codings:
            self._start_chunks(lowered)
        elif lengths:
            self._start_body(lowered)
        else:
            self._next = None
        if self._next is not None and b'\nexpect:' in lowered:
            expected = _get_value(lowered, b'\nexpect:')
            self.wants_continue = expected == b'100-continue'

    def _start_chunks(self, lowered):
        request_line, _, _ = lowered.partition(CRLF)
        if _get_value(lowered, b'\ntransfer-encoding:') != b'chunked':
            _refuse_malformed('the transfer coding is not chunked')
        if not request_line.endswith(b'http/1.1'):
            _refuse_malformed('chunks in another version than HTTP/1.1')
        self._body = bytearray()
        self._next = self._read_size

    def _start_body(self, lowered):
        text = _get_value(lowered, b'\ncontent-length:')
        if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
            _refuse_malformed('invalid Content-Length')
        self._needed = int(text)
        self._check_body(self._needed)
        self._next = self._read_body if self._needed else None

    def _check_body(self, size):
        if size > self._body_bytes:
            _refuse_large('body', f'the body exceeds {self._body_bytes} bytes')

    def _read_body(self):
        needed, buffer = self._needed, self._buffer
        if len(buffer) < needed:
            return False
        self._body = bytes(memoryview(buffer)[:needed])
        del buffer[:needed]
        self._needed = 0
        self._next = None
        return True

    def _read_size(self):
        line = self._take_line()
        if line is None:
            return False
        match = _SIZE.fullmatch(line)
        if match is None:
            _refuse_malformed('invalid size of a chunk')
        size = int(match[1], 16)
        self._check_body(len(self._body) + size)
        # The line break after the chunk belongs to its framing.
        self._framing += len(line) + 2 * len(CRLF)
        limit = FRAMING_PER_BYTE * self._body_bytes + self._head_bytes
        if self._framing > limit:
            _refuse_large('framing', f'the chunks have over {limit} bytes')
        self._needed = size + len(CRLF) if size else 0
        self._next = self._read_chunk if size else self._read_trailer
        return True

    def _read_chunk(self):
        needed, buffer = self._needed, self._buffer
        if len(buffer) < needed:
            return False
        size = needed - len(CRLF)
        if buffer[size:needed] != CRLF:
            _refuse_malformed('no line break after a chunk')
        with memoryview(buffer) as view:
            self._body += view[:size]
        del buffer[:needed]
        self._needed = 0
        self._next = self._read_size
        return True

    def _read_trailer(self):
        line = self._take_line()
        if line is None:
            return False
        if not line:
            self._next = None
            return True
        self._trailers += len(line) + len(CRLF)
        if self._trailers > self._head_bytes:
            _refuse_large(
                'trailers', f'the trailers exceed {self._head_bytes} bytes'
            )
        return True

    def _take_line(self):
        """Remove and return the next line, or return None."""
        buffer = self._buffer
        end = buffer.find(CRLF, max(0, self._scanned - 1))
        size = len(buffer) if end < 0 else end
        if size > self._line_bytes + (end < 0):
            _refuse_large(
                'line', f'a line of the body exceeds {self._line_bytes} bytes'
            )
        if end < 0:
            self._scanned = size
            return None
        line = bytes(memoryview(buffer)[:end])
        del buffer[: end + len(CRLF)]
        self._scanned = 0
        if b'\n' in line or b'\r' in line:
            _refuse_malformed('lines end in CRLF')
        return line


def _get_value(lowered, name):
    start = lowered.index(name) + len(name)
    return lowered[start : lowered.index(CRLF, start)].strip(SPACES)

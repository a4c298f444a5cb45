"""Requests whose body is sent once the server has asked for it (RFC 9110).

A server that supports HTTP/1.1 answers the head of a request that has
``Expect: 100-continue`` with the interim response 100, and doesn't carry the
request out before it has the body. So until then the client can still withdraw
the request, with certainty.
"""

from bilberryhaven import errors
from bilberryhaven.wire import answer

__all__ = ['ConfirmedConnection']

EXPECT_HEADER = 'Expect'
CONTINUE = '100-continue'
STATUS_CONTINUE = 100
# An interim response has a status line and hardly any headers.
MAX_INTERIM_BYTES = 4096


class ConfirmedConnection(answer.Connection):
    """Connection that can ask for a confirmation before it sends a body.

    It is never opened again by the library, which would do so before the next
    request if an answer has closed it.

    Attributes:
        confirm: If not None, called without arguments once the server has the
            head of a request and asks for its body; if it raises an error,
            the body isn't sent.
    """

    auto_open = 0
    confirm = None

    def request(self, method, url, body=None, headers=None, **kwargs):
        """Send a request, if it is confirmed.

        Raises:
            PeerError: The server did not ask for the body, which was not
                sent: the request is not carried out.
        """
        if self.confirm is not None:
            headers = {**(headers or {}), EXPECT_HEADER: CONTINUE}
        super().request(method, url, body=body, headers=headers, **kwargs)

    def endheaders(self, *args, **kwargs):
        """Send the head; the library sends the body after this call."""
        if self.confirm is None:
            super().endheaders(*args, **kwargs)
            return
        try:
            super().endheaders(*args, **kwargs)
            head = self.read_head(MAX_INTERIM_BYTES)
        except (OSError, answer.AnswerTooLargeError) as error:
            raise self._build_error(f'{error}') from error
        status = _parse_status(head)
        if status != STATUS_CONTINUE:
            raise self._build_error(f'the head was answered with {status}')
        self.confirm()

    def _build_error(self, reason):
        return errors.PeerError(
            f'request was not sent, its body was not asked for: {reason}',
            step='expect',
            peer=f'{self.host}:{self.port}',
            outcome=errors.Outcome.NOT_RUN,
        )


def _parse_status(head):
    """Return the status of a complete head, 0 if it is none."""
    words = head.split(None, 2)
    if not head.endswith(b'\r\n\r\n') or not words[1:2]:
        return 0
    return int(words[1]) if words[1].isdigit() else 0

"""Client of other processes: sends a message and returns its reply."""

import urllib3

from bilberryhaven import border
from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.wire import answer
from bilberryhaven.wire import codec
from bilberryhaven.wire import message

__all__ = ['Client']

CONTENT_TYPE = 'application/capnp'
MESSAGE_PATH = '/wire'
MAX_CONNECTIONS_PER_PEER = 64
MAX_PEERS = 8192
CONNECT_SECONDS = 0.5
MS_PER_S = 1000
# Whatever was asked for may have been done. The caller logs the error.
_REPLY_GUARD = border.Guard(
    what='reply', step='read reply', kind=errors.PeerError, logs=False
)


class Client:
    """Sends messages over persistent HTTP connections.

    A connection is closed if an answer on it is late or incomplete, so that
    an answer is never matched to another request.
    """

    def __init__(self):
        self._pools = answer.PoolManager(
            num_pools=MAX_PEERS,
            maxsize=MAX_CONNECTIONS_PER_PEER,
            retries=False,
        )

    def send(self, address, msg, *, timeout, step):
        """Send ``msg`` to the process at ``address`` and return its reply.

        Args:
            address: HOST:PORT of the peer.
            msg: A typed message, or a function that builds it. The function
                is called once the connection is open.
            timeout: Longest wait, a timedelta.
            step: Purpose of the message, named in errors.

        Raises:
            PeerError: No complete answer arrived, or one that can't be read.
                The outcome is not_run if no connection was made, else
                unknown.
            BilberryhavenError: The peer answered with an error.
        """
        host, port = util.parse_address(address)
        pool = self._pools.connection_from_host(host, port, scheme='http')
        body = (
            (lambda: codec.encode(msg()))
            if callable(msg)
            else codec.encode(msg)
        )
        limit = max(timeout.total_seconds(), 0.001)
        try:
            response = pool.urlopen(
                'POST',
                MESSAGE_PATH,
                body=body,
                headers={'Content-Type': CONTENT_TYPE},
                timeout=urllib3.Timeout(
                    connect=min(limit, CONNECT_SECONDS), total=limit
                ),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            answer.release_parts(error)
            raise _build_peer_error(error, address, step) from error
        if response.status != 200:
            raise errors.PeerError(
                f'HTTP status {response.status}', step=step, peer=address
            )
        with _REPLY_GUARD:
            reply = codec.decode(response.data)
            error = _rebuild_error(reply, address)
        if error is not None:
            raise error
        return reply

    def close(self):
        """Close all idle connections."""
        self._pools.clear()


def _build_peer_error(error, address, step):
    outcome = errors.Outcome.UNKNOWN
    connect_errors = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, connect_errors):
        outcome = errors.Outcome.NOT_RUN
    return errors.PeerError(
        f'no answer: {error}', step=step, peer=address, outcome=outcome
    )


def _rebuild_error(reply, address):
    """Return the error that a reply reports, or None."""
    if not isinstance(reply, message.ErrorReply):
        return None
    error = errors.build_error(
        {
            'code': reply.code,
            'message': reply.message,
            'step': reply.step,
            'peer': reply.peer or address,
            'outcome': reply.outcome,
            'request_id': reply.request_id,
        }
    )
    if reply.retry_after_ms:
        error.retry_after = reply.retry_after_ms / MS_PER_S
    return error

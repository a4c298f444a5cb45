"""Client of the backend server protocol (docs/backend-server.md)."""

import datetime
from urllib import parse

import msgspec
import urllib3

from bilberryhaven.agent import protocol
from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.wire import answer

__all__ = ['BackendClient']

CONTROL_TIMEOUT = clocks.seconds(1)
TIMEOUTS_BEFORE_BACKOFF = 3
MAX_BACKOFF_DOUBLINGS = 5
MAX_BACKOFF = clocks.seconds(30)
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MIN_TIMEOUT = clocks.seconds(0.001)
READ_CHUNK_BYTES = 64 * 1024
_ERROR_GUARD = border.Guard(what='error', step='read error')

_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
)


class BackendClient:
    """Calls one backend server over a small pool of persistent connections.

    A connection on which a response was late, truncated or mismatched is
    closed and never reused.

    Args:
        address: HOST:PORT of the backend server.
        owner: Name of this agent's incarnation; the server fences all others.
        clock: Source of the monotonic time.
        slots: Maximum number of concurrent requests.
        control_connections: Number of connections for all other calls.
    """

    def __init__(self, *, address, owner, clock, slots, control_connections):
        self._address = address
        self._owner = owner
        self._clock = clock
        self._requests = _build_pool(address, slots)
        self._control = _build_pool(address, control_connections)
        self._timeouts = 0
        self._backoff_until = datetime.timedelta()

    def attach(self):
        """Take over the backend server and return its ``Status``."""
        body = protocol.Attachment(owner=self._owner)
        return self._call('POST', '/v1/attach', body, protocol.Status)

    def get_status(self):
        """Return the ``Status``."""
        return self._call('GET', '/v1/status', None, protocol.Status)

    def get_usage(self):
        """Return the ``UsageReport``."""
        return self._call('GET', '/v1/usage', None, protocol.UsageReport)

    def renew_lease(self, session, lease, ticket):
        """Forward a lease, which counts from the issue of the ticket.

        Returns:
            The ``Status``.
        """
        body = protocol.LeaseGrant(
            session=session,
            lease_ms=lease // datetime.timedelta(milliseconds=1),
            ticket=ticket,
            owner=self._owner,
        )
        return self._call('POST', '/v1/lease', body, protocol.Status)

    def start_task(self, order, session):
        """Start the job of a ``StartOrder`` and return its ``TaskStatus``."""
        body = protocol.TaskStart(
            id=order.job_id,
            epoch=order.epoch,
            session=session,
            workload=order.workload,
            owner=self._owner,
            payload=order.payload,
            checkpoint=order.checkpoint,
            slots=order.slots,
        )
        return self._call('POST', '/v1/tasks', body, protocol.TaskStatus)

    def stop_task(self, job_id, epoch):
        """Checkpoint and stop a job; return its last ``TaskStatus``."""
        return self._send_task_order(job_id, 'stop', epoch)

    def checkpoint_task(self, job_id, epoch):
        """Return the ``TaskStatus`` of a running job, with a checkpoint."""
        return self._send_task_order(job_id, 'checkpoint', epoch)

    def throttle_task(self, job_id, epoch, share):
        """Limit a running job to a share of its full speed."""
        return self._send_task_order(job_id, 'throttle', epoch, share)

    def forget_task(self, job_id, epoch):
        """Make the backend server remove an ended job."""
        body = protocol.TaskOrder(epoch=epoch, owner=self._owner)
        path = f'/v1/tasks/{_quote(job_id)}'
        return self._call('DELETE', path, body, protocol.Body)

    def revoke_request(self, request_id):
        """Prevent a request from starting; return its ``RequestState``."""
        path = f'/v1/requests/{_quote(request_id)}'
        return self._call('DELETE', path, None, protocol.RequestState)

    def run_request(self, request_id, workload, body, timeout):
        """Run a request and return the body of its complete answer.

        Raises:
            TruncatedAnswerError: The answer is incomplete or belongs to
                another request.
            BilberryhavenError: The request failed; the error holds the
                outcome.
        """
        request = protocol.ServiceRequest(
            id=request_id,
            workload=workload,
            owner=self._owner,
            body=body,
            deadline_ms=timeout // datetime.timedelta(milliseconds=1),
        )
        answer = self._exchange(
            self._requests,
            'POST',
            '/v1/requests',
            request,
            protocol.Answer,
            timeout,
        )
        self._check_answer(answer, request_id)
        return answer.body

    def close(self):
        """Close all connections."""
        self._requests.close()
        self._control.close()

    def _send_task_order(self, job_id, action, epoch, share=1.0):
        body = protocol.TaskOrder(epoch=epoch, owner=self._owner, share=share)
        path = f'/v1/tasks/{_quote(job_id)}/{action}'
        return self._call('POST', path, body, protocol.TaskStatus)

    def _call(self, method, path, body, cls):
        self._check_backoff(f'{method} {path}')
        try:
            reply = self._exchange(
                self._control, method, path, body, cls, CONTROL_TIMEOUT
            )
        except errors.PeerError as error:
            self._count_timeout(error)
            raise
        self._timeouts = 0
        return reply

    def _check_backoff(self, step):
        """Raise an error during the backoff that follows timeouts.

        A hanging server keeps each timed-out connection open, so further
        calls would use up its connections.
        """
        if self._clock.monotonic() < self._backoff_until:
            raise errors.PeerError(
                f'call skipped: backing off after {self._timeouts} timeouts',
                step=step,
                peer=self._address,
                outcome=errors.Outcome.NOT_RUN,
            )

    def _count_timeout(self, error):
        if not isinstance(error.__cause__, urllib3.exceptions.TimeoutError):
            self._timeouts = 0
            return
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_BEFORE_BACKOFF:
            doublings = min(
                self._timeouts - TIMEOUTS_BEFORE_BACKOFF, MAX_BACKOFF_DOUBLINGS
            )
            backoff = clocks.seconds(2**doublings)
            now = self._clock.monotonic()
            self._backoff_until = now + min(backoff, MAX_BACKOFF)

    def _exchange(self, pool, method, path, body, cls, timeout):
        step = f'{method} {path}'
        until = self._clock.monotonic() + timeout
        limit = max(timeout, MIN_TIMEOUT).total_seconds()
        try:
            response = pool.urlopen(
                method,
                path,
                body=b'' if body is None else msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
                timeout=urllib3.Timeout(total=limit),
                pool_timeout=limit,
                retries=False,
                redirect=False,
                preload_content=False,
            )
            data = self._read(response, until, step)
        except urllib3.exceptions.HTTPError as error:
            raise self._build_transport_error(error, step) from error
        if response.status >= 400:
            raise self._parse_error(response.status, data, step)
        return self._decode(cls, data, step)

    def _read(self, response, until, step):
        chunks, size = [], 0
        try:
            while chunk := response.read1(READ_CHUNK_BYTES):
                chunks.append(chunk)
                size += len(chunk)
                if size > MAX_RESPONSE_BYTES:
                    raise self._build_truncated(
                        'body exceeds the size limit', step
                    )
                if self._clock.monotonic() > until:
                    raise self._build_truncated(
                        'body incomplete at the time-out', step
                    )
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return b''.join(chunks)

    def _check_answer(self, answer, request_id):
        step = 'check answer'
        if answer.id != request_id:
            raise self._build_truncated(
                f'it belongs to request {answer.id!r}', step
            )
        if answer.length != len(answer.body):
            raise self._build_truncated(
                f'got {len(answer.body)} of {answer.length} bytes', step
            )
        if answer.digest != util.compute_digest(answer.body):
            raise self._build_truncated('digest mismatch', step)

    def _decode(self, cls, data, step):
        try:
            return protocol.read_body(cls, data, step=step)
        except errors.BadInputError as error:
            raise self._build_truncated(error.message, step) from error

    def _build_truncated(self, reason, step):
        return errors.TruncatedAnswerError(
            f'unusable answer: {reason}', step=step, peer=self._address
        )

    def _build_transport_error(self, error, step):
        outcome = errors.Outcome.UNKNOWN
        if isinstance(error, _NOT_SENT):
            outcome = errors.Outcome.NOT_RUN
        return errors.PeerError(
            f'no answer: {error}',
            step=step,
            peer=self._address,
            outcome=outcome,
        )

    def _parse_error(self, status, data, step):
        try:
            with _ERROR_GUARD:
                fields = msgspec.json.decode(data, type=dict[str, str])
        except errors.BadInputError:
            fields = {}
        if 'code' not in fields:
            return errors.PeerError(
                f'HTTP status {status} without an error code',
                step=step,
                peer=self._address,
            )
        fields['peer'] = self._address
        try:
            return errors.build_error(fields)
        except ValueError:
            return errors.PeerError(
                f'malformed error response {fields}',
                step=step,
                peer=self._address,
            )


def _build_pool(address, size):
    host, port = util.parse_address(address)
    return answer.Pool(
        host, port=port, maxsize=size, block=True, retries=False
    )


def _quote(text):
    return parse.quote(text, safe='')

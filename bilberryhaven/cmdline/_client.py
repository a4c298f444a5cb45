"""Client of the JSON API; retries of a write reuse its change id."""

import getpass
import json
import os
import threading
import urllib.parse

import urllib3

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.wire import answer

__all__ = ['ApiClient']

MAX_ATTEMPTS = 6
MAX_RETRY_TIME_S = 20
FIRST_BACKOFF_S = 0.1
TIMEOUT_S = 15.0
IN_FORCE_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.1
RETRIED_STATUSES = frozenset({502, 503, 504})


def _get_user():
    user = os.environ.get('BILBERRYHAVEN_USER')
    if user:
        return user
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unknown'


class ApiClient:
    """Calls the API of one of several servers.

    Args:
        servers: HOST:PORT addresses, tried in turn.
        clock: The ``Clock``.
        pause: Function that waits for a number of seconds, or None for the
            default.
    """

    def __init__(self, *, servers, clock, pause=None):
        self._servers = [server.strip() for server in servers]
        for server in self._servers:
            util.parse_address(server)
        self._clock = clock
        self._pause = pause or threading.Event().wait
        self._pools = answer.PoolManager(retries=False)

    def call(self, method, path, body=None, *, query=None, retry=True):
        """Return the JSON answer to one call.

        Args:
            method: HTTP method.
            path: Path with its segments quoted.
            body: JSON value of the body, or None.
            query: Mapping of query fields; fields that are None are omitted.
            retry: Whether the call is idempotent and may be retried.

        Raises:
            BilberryhavenError: The error of the last attempt.
        """
        fields = {k: v for k, v in (query or {}).items() if v is not None}
        if fields:
            path = f'{path}?{urllib.parse.urlencode(fields)}'
        if not retry:
            return self._send(self._servers[0], method, path, body)
        return self._send_with_retries(method, path, body)

    def _send_with_retries(self, method, path, body):
        outcome = None
        end = self._clock.monotonic() + clocks.seconds(MAX_RETRY_TIME_S)
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                self._pause(FIRST_BACKOFF_S * 2**attempt)
            server = self._servers[attempt % len(self._servers)]
            try:
                return self._send(server, method, path, body)
            except errors.BilberryhavenError as error:
                last = error
            if last.status not in RETRIED_STATUSES:
                break
            if last.outcome != errors.Outcome.NOT_RUN:
                outcome = last.outcome
            if self._clock.monotonic() > end:
                break
        if outcome is not None and last.status in RETRIED_STATUSES:
            last.outcome = outcome
        raise last

    def read(self, base, name=None, query=None):
        """Return the JSON answer to a GET of ``base`` or ``base/name``."""
        if name:
            base = f'{base}/{urllib.parse.quote(name, safe="")}'
        return self.call('GET', base, query=query)

    def read_all(self, base, field, query=None):
        """Return the answer to a GET of a list, with all pages merged."""
        answer = self.call('GET', base, query=query)
        while answer.get('next_after'):
            after = {**(query or {}), 'after': answer['next_after']}
            page = self.call('GET', base, query=after)
            answer[field] += page[field]
            answer['next_after'] = page['next_after']
        return answer

    def change(self, method, path, body, *, change_id=None):
        """Return the answer to an operator's write."""
        body = {
            'by': _get_user(),
            **body,
            'change_id': change_id or util.create_id('change'),
        }
        return self.submit(method, path, body, key=body['change_id'])

    def submit(self, method, path, body, *, key):
        """Return the answer to a write whose idempotency key is ``key``."""
        try:
            return self.call(method, path, body)
        except errors.BilberryhavenError as error:
            error.request_id = key
            raise

    def wait_in_force(self, revision):
        """Poll until a revision is in force, up to ``IN_FORCE_TIMEOUT_S``.

        Returns:
            A mapping with ``in_force`` and ``behind``; in_force is None if
            no server could be reached.
        """
        query = {'revision': revision, 'nodes': 0}
        answer = {'in_force': None, 'behind': []}
        for number in range(int(IN_FORCE_TIMEOUT_S / POLL_INTERVAL_S)):
            if number:
                self._pause(POLL_INTERVAL_S)
            try:
                answer = self.call('GET', '/v1/in-force', query=query)
            except errors.BilberryhavenError:
                break
            if answer['in_force']:
                break
        return {key: answer[key] for key in ('in_force', 'behind')}

    def _send(self, server, method, path, body):
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._pools.request(
                method,
                f'http://{server}{path}',
                body=data,
                headers=_build_headers(body),
                timeout=urllib3.Timeout(total=TIMEOUT_S),
                redirect=False,
            )
        except urllib3.exceptions.HTTPError as error:
            raise _convert_error(error, server, f'{method} {path}') from error
        return _decode_answer(response, server, f'{method} {path}')


def _convert_error(error, server, step):
    refused = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, refused):
        return errors.UnavailableError(
            f'cannot connect to {server}; check that it is the address of an '
            'entry or control instance and that the instance is running',
            step=step,
            peer=server,
        )
    return errors.PeerError(
        f'no answer received: {error}', step=step, peer=server
    )


def _build_headers(body):
    headers = {'Content-Type': 'application/json'}
    key = (body or {}).get('change_id') or (body or {}).get('id')
    if key:
        headers['Idempotency-Key'] = key
    return headers


def _decode_answer(response, server, step):
    try:
        answer = json.loads(response.data)
    except (ValueError, RecursionError) as error:
        raise errors.PeerError(
            f'HTTP status {response.status} without a JSON body',
            step=step,
            peer=server,
        ) from error
    if response.status < 300:
        return answer
    if not isinstance(answer, dict):
        answer = {'message': f'HTTP status {response.status}: {answer}'}
    answer.setdefault('step', step)
    error = errors.build_error(answer)
    error.peer = error.peer or server
    raise error

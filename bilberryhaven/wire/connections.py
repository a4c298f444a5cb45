"""Open connections of an HTTP server that no thread serves at the moment.

One thread accepts connections and receives requests on all of them, so that
neither a connection without a request nor a slow one occupies a thread that
serves requests.
"""

import contextlib
import select
import socket
import threading
import time

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.wire import input as wire_input

__all__ = ['Connections']

MS_PER_S = 1000
# A refused sender reads the answer only once it has sent its request, or has
# been stopped; what it sends meanwhile is discarded within these bounds.
DISCARD_SECONDS = 1.0
MAX_DISCARDED_BYTES = 16 * 1024 * 1024
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
ACCEPT_PAUSE_SECONDS = 0.2
RETRY_AFTER_S = 1
# Longest wait for a peer to take an answer while the server stops.
FINISH_SECONDS = 2.0

_clock = clocks.SystemClock()
_log = log.BoundedLog(logger=log.get_logger('wire'), clock=_clock)


class Connections:
    """Receives requests and hands complete ones to the server's threads.

    A connection belongs either to a thread that serves its request or to one
    of the queues here, each of which is in the order of arrival.

    Args:
        server: The ``deferral.Server``, whose socket listens.
        since: Steady time before it began to listen, a timedelta.
    """

    def __init__(self, server, *, since):
        self._server = server
        # When no connection waited to be accepted. This thread may have been
        # suspended since, so the time of an accept says nothing.
        self._queue_empty_at = since
        self._intake = server.intake
        self._limits = server.intake.limits
        self._poll = select.epoll()
        self._listen_fd = server.socket.fileno()
        server.socket.setblocking(False)
        self._poll.register(self._listen_fd, select.EPOLLIN)
        self._idle, self._reading = {}, {}
        self._writing, self._refused = {}, {}
        self._lock = threading.Lock()
        self._accept_at = None
        self._serving = False
        self._stop_requested = False

    @property
    def can_add_keepalive_connection(self):
        """Whether one more connection may be kept open between requests."""
        return len(self._idle) < self._server.keep_alive_conn_limit

    def run(self, expiration_interval):
        """Serve until ``stop`` is called.

        Args:
            expiration_interval: Time between two checks for connections that
                have timed out, in seconds.
        """
        self._serving = True
        try:
            self._run(expiration_interval)
        finally:
            self._serving = False

    def stop(self):
        """Stop receiving; return once no request is being received."""
        self._stop_requested = True
        while self._serving:
            time.sleep(0.01)

    def close(self):
        """Close all connections that no thread serves."""
        with self._lock:
            queues = (self._idle, self._reading, self._refused)
            left = [conn for queue in queues for conn in queue.values()]
            unsent = list(self._writing.values())
        for conn in left:
            self._drop(conn)
        until = time.monotonic() + FINISH_SECONDS
        for conn in unsent:
            self._forget(conn)
            conn.finish(until - time.monotonic())
        self._poll.close()

    def put(self, conn):
        """Send the response; then wait for the next request.

        What the peer doesn't take at once is sent later, so that a peer that
        doesn't read occupies no thread.
        """
        conn.note_early_input()
        self._proceed(conn)

    def _proceed(self, conn):
        """Send the response, or the rest of it, and go on."""
        try:
            is_sent = self._flush(conn)
        except OSError:
            self._drop(conn)
            return
        if not is_sent:
            self._keep_answer(conn)
        elif conn.closes:
            self._drop(conn)
        else:
            self._await_request(conn)

    def _flush(self, conn):
        """Send what the peer takes; return whether that was everything."""
        if conn.wfile.kept_bytes:
            conn.answered_at = _clock.monotonic()
        return conn.wfile.flush()

    def _keep_answer(self, conn):
        """Keep the rest of an answer, or close if the process has no room."""
        if conn.resize_claim(conn.wfile.kept_bytes):
            self._watch(conn, self._writing, select.EPOLLOUT)
        else:
            self._give_up(conn)

    def _give_up(self, conn):
        """Close a connection whose peer doesn't read."""
        self._intake.count_refusal('unread')
        _log.warning(
            'unread', 'a peer does not read an answer', peer=conn.remote_addr
        )
        self._drop(conn)

    def _send(self, conn):
        before = conn.wfile.kept_bytes
        try:
            is_sent = self._flush(conn)
        except OSError:
            self._drop(conn)
            return
        if is_sent:
            self._forget(conn)
            self._proceed(conn)
        elif conn.wfile.kept_bytes < before:
            conn.resize_claim(conn.wfile.kept_bytes)
            self._move(conn, self._writing)

    def _await_request(self, conn):
        """Wait for the next request, or hand over one that has arrived."""
        conn.resize_claim(0)
        conn.note_answered()
        try:
            is_complete = conn.reader.advance()
            self._claim(conn)
        except wire_input.RefusedInputError as refusal:
            self._refuse(conn, refusal)
            return
        if is_complete:
            self._server.process_conn(conn)
            return
        queue = self._reading if conn.reader.kept_bytes else self._idle
        self._watch(conn, queue)

    def _run(self, expiration_interval):
        next_check = time.monotonic() + expiration_interval
        while not self._stop_requested:
            wait = expiration_interval
            if self._accept_at is not None:
                wait = min(wait, ACCEPT_PAUSE_SECONDS)
            polled_at = _clock.monotonic()
            ready = [fd for fd, _ in self._poll.poll(wait)]
            if self._accept_at is None:
                self._note_empty_queue(ready, polled_at, wait)
            for fd in ready:
                self._handle(fd)
            now = time.monotonic()
            self._resume_accepting(now)
            if now >= next_check:
                self._expire(now)
                next_check = now + expiration_interval

    def _note_empty_queue(self, ready, polled_at, wait):
        if not ready:
            # It has returned after that wait at the earliest.
            self._queue_empty_at = polled_at + clocks.seconds(wait)
        elif self._listen_fd not in ready:
            # It has returned at an unknown time since.
            self._queue_empty_at = polled_at

    def _handle(self, fd):
        if fd == self._listen_fd:
            self._accept()
            return
        with self._lock:
            conn = (
                self._idle.get(fd)
                or self._reading.get(fd)
                or self._writing.get(fd)
                or self._refused.get(fd)
            )
        if conn is None:
            return
        try:
            if conn.place is self._refused:
                self._discard(conn)
            elif conn.place is self._writing:
                self._send(conn)
            else:
                self._receive(conn)
        except Exception:  # noqa: BLE001
            # One connection must not hold up the others.
            _log.exception('receive', 'a connection failed')
            self._drop(conn)

    def _accept(self):
        try:
            sock, address = self._server.socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return
        except OSError as error:
            self._pause_accepting(error)
            return
        sock.setblocking(False)
        conn = self._server.ConnectionClass(self._server, sock)
        conn.remote_addr, conn.remote_port = address[:2]
        conn.sent_after = self._queue_empty_at
        if conn.has_room or self._close_longest_idle():
            self._watch(conn, self._idle)
        else:
            self._refuse_connection(conn)

    def _close_longest_idle(self):
        """Close the connection that is idle longest; return if there is one.

        A connection whose request is being received or served stays open.
        """
        with self._lock:
            longest = next(iter(self._idle.values()), None)
        if longest is None:
            return False
        self._intake.count_refusal('idle')
        self._drop(longest)
        return True

    def _refuse_connection(self, conn):
        refusal = _build_overload(
            'connections', 'no further connection can be kept open'
        )
        self._count_refusal(conn, refusal)
        conn.refuse(refusal)
        self._drop(conn)

    def _pause_accepting(self, error):
        """Wait before the next attempt to accept a connection.

        Without descriptors, each attempt would fail at once. Requests on
        open connections are received meanwhile.
        """
        self._intake.count_refusal('accept')
        _log.warning('accept', f'no connection can be accepted: {error}')
        self._close_longest_idle()
        self._poll.unregister(self._listen_fd)
        self._accept_at = time.monotonic() + ACCEPT_PAUSE_SECONDS

    def _resume_accepting(self, now):
        if self._accept_at is not None and now >= self._accept_at:
            self._accept_at = None
            self._poll.register(self._listen_fd, select.EPOLLIN)

    def _receive(self, conn):
        try:
            data = conn.socket.recv(conn.reader.wanted_bytes)
        except (BlockingIOError, InterruptedError, TimeoutError):
            return
        except OSError:
            self._drop(conn)
            return
        try:
            if not data:
                self._end_input(conn)
                return
            is_complete = conn.reader.feed(data)
            self._claim(conn)
        except wire_input.RefusedInputError as refusal:
            self._refuse(conn, refusal)
            return
        if is_complete:
            self._forget(conn)
            self._server.process_conn(conn)
            return
        if conn.place is self._idle:
            self._move(conn, self._reading)
        if conn.reader.wants_continue:
            self._send_continue(conn)

    def _claim(self, conn):
        """Claim the memory for what a connection keeps of its request.

        Raises:
            RefusedInputError: The process has no room for it.
        """
        needed = conn.reader.estimate_cost()
        if conn.resize_claim(needed):
            return
        if needed > self._intake.max_request_bytes:
            raise wire_input.RefusedInputError(
                reason='decoded',
                status='413 Content Too Large',
                error=errors.BadInputError(
                    'the request has too many values', step='read request'
                ),
            )
        raise _build_overload(
            'process', 'requests occupy all memory that is meant for them'
        )

    def _end_input(self, conn):
        if conn.reader.kept_bytes:
            raise wire_input.RefusedInputError(
                reason='incomplete',
                status='400 Bad Request',
                error=errors.BadInputError(
                    'the request is incomplete', step='read request'
                ),
            )
        self._drop(conn)

    def _send_continue(self, conn):
        conn.reader.wants_continue = False
        try:
            conn.socket.send(CONTINUE, socket.MSG_DONTWAIT)
        except OSError:
            self._drop(conn)

    def _discard(self, conn):
        try:
            data = conn.socket.recv(wire_input.MAX_READ_BYTES)
        except (BlockingIOError, InterruptedError, TimeoutError):
            return
        except OSError:
            data = b''
        conn.discarded += len(data)
        if not data or conn.discarded > MAX_DISCARDED_BYTES:
            self._drop(conn)

    def _refuse(self, conn, refusal):
        """Answer the request and close once the sender had time to read."""
        self._count_refusal(conn, refusal)
        conn.reader.clear()
        conn.resize_claim(0)
        conn.refuse(refusal)
        if conn.place is None:
            self._watch(conn, self._refused)
        else:
            self._move(conn, self._refused)

    def _count_refusal(self, conn, refusal):
        self._intake.count_refusal(refusal.reason)
        _log.warning(
            f'refuse {refusal.reason}',
            f'a request is refused: {refusal.error.message}',
            code=refusal.error.code,
            reason=refusal.reason,
            peer=conn.remote_addr,
        )

    def _expire(self, now):
        limits = self._limits
        for conn in self._list_older(
            self._reading, now - limits.request_ms / MS_PER_S
        ):
            self._refuse(
                conn,
                wire_input.RefusedInputError(
                    reason='slow',
                    status='408 Request Timeout',
                    error=errors.DeadlineError(
                        f'no complete request within {limits.request_ms} ms',
                        step='read request',
                        outcome=errors.Outcome.NOT_RUN,
                    ),
                ),
            )
        for conn in self._list_older(
            self._writing, now - limits.answer_ms / MS_PER_S
        ):
            self._give_up(conn)
        for queue, seconds in (
            (self._idle, limits.idle_ms / MS_PER_S),
            (self._refused, DISCARD_SECONDS),
        ):
            for conn in self._list_older(queue, now - seconds):
                self._drop(conn)

    def _list_older(self, queue, limit):
        found = []
        with self._lock:
            for conn in queue.values():
                if conn.since > limit:
                    break
                found.append(conn)
        return found

    def _watch(self, conn, queue, events=select.EPOLLIN):
        try:
            # Under the lock: it must not be closed before it is registered,
            # or another connection may have its descriptor by then.
            with self._lock:
                conn.place = queue
                conn.since = time.monotonic()
                queue[conn.fd] = conn
                self._poll.register(conn.fd, events)
        except (OSError, ValueError):
            # The server has been closed meanwhile.
            self._drop(conn)

    def _move(self, conn, queue):
        with self._lock:
            conn.place.pop(conn.fd, None)
            conn.place = queue
            conn.since = time.monotonic()
            queue[conn.fd] = conn

    def _forget(self, conn):
        with self._lock:
            if conn.place is not None:
                conn.place.pop(conn.fd, None)
                conn.place = None
        try:
            self._poll.unregister(conn.fd)
        except (OSError, ValueError):
            return

    def _drop(self, conn):
        self._forget(conn)
        conn.reader.clear()
        conn.wfile.clear()
        with contextlib.suppress(OSError):
            conn.close()


def _build_overload(reason, text):
    return wire_input.RefusedInputError(
        reason=reason,
        status='503 Service Unavailable',
        error=errors.OverloadError(
            text, step='read request', retry_after=RETRY_AFTER_S
        ),
    )

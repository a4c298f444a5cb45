"""The infrastructure's workers: their heartbeats and a client for them."""

import functools
import http.client
import re
import threading
import typing

import msgspec
import urllib3

from bilberryhaven import border
from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import util
from bilberryhaven.wire import answer
from bilberryhaven.wire import expectation
from bilberryhaven.workflow import message
from bilberryhaven.workflow import server_client

__all__ = [
    'WorkerClient',
    'decode_deregistration',
    'decode_heartbeat',
    'decode_lists',
]

# A worker answers a start within a few milliseconds. A call that takes longer
# is retried; a worker that has already carried it out answers the retry as it
# did the first.
CALL_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.4
MAX_CONNECTIONS = 8
# An end and a running task for each of hundreds, with their checkpoints.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
INSTANCE_HEADER = 'X-Expected-Instance'
MAX_LABELS = 64
MAX_CHECKPOINT_CHARS = 65_536
# Ends that a worker may list beyond those that have been acknowledged; it
# lists up to 500 at a time.
MAX_UNACKNOWLEDGED_ENDS = 1_000_000
TASK_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,99}(\.[0-9]{1,9}){3}')
REASON_LATE = 'late'
REASON_FENCE = 'fence'
STATUS_OTHER_INSTANCE = 421
# With these, a call may succeed if it is sent again.
RETRIED_STATUSES = (408, 429)
StartResult = server_client.StartResult

_logger = log.get_logger('agent')
_HEARTBEAT_GUARD = border.Guard(what='heartbeat', step='decode heartbeat')
_DEREGISTRATION_GUARD = border.Guard(
    what='deregistration', step='decode deregistration'
)
# Its callers log the errors of a call.
_ANSWER_GUARD = border.Guard(
    what='answer', step='read answer', kind=errors.PeerError, logs=False
)
_ROW_GUARD = border.Guard(what='row', step='read list')

# Time left until the worker is warm, which may be a fraction.
_Warming = typing.Annotated[
    float,
    msgspec.Meta(ge=-border.MAX_MILLISECONDS, le=border.MAX_MILLISECONDS),
]
_Measurement = typing.Annotated[float, msgspec.Meta(ge=0, le=border.MAX_COUNT)]
_Checkpoint = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_CHECKPOINT_CHARS)
]


class _Capacity(msgspec.Struct):
    """Capacity of a worker; one without accelerators may leave them out."""

    cpu: border.Amount  # thousandths of a core
    mem_mb: border.Amount
    gpu: border.Amount = 0


class _Heartbeat(msgspec.Struct):
    """A worker's heartbeat."""

    service: border.Text
    address: border.Text
    state: border.Text
    sequence: border.Number
    capacity: _Capacity
    zone: border.Text = ''
    # Its kind, then its rack.
    labels: typing.Annotated[
        list[border.Text], msgspec.Meta(max_length=MAX_LABELS)
    ] = []
    remaining_ms: border.Milliseconds = 0
    cold_remaining_ms: _Warming = 0
    born: border.UnixTime = 0  # milliseconds


class _RunningRow(msgspec.Struct, array_like=True):
    """A run that is present."""

    task: str
    run: border.Number
    checkpoint: _Checkpoint = ''
    percent: _Measurement = 0
    gauge: _Measurement = 0


class _RunRow(msgspec.Struct, array_like=True):
    """What identifies the run in a row whose other values are odd."""

    task: str
    run: border.Number


class _EndedRunRow(msgspec.Struct, array_like=True):
    """What identifies the run in the row of an end."""

    number: msgspec.Raw
    task: str
    run: border.Number


class _EndRow(msgspec.Struct, array_like=True):
    """The end of a run."""

    number: border.Number
    task: str
    run: border.Number
    how: border.Text
    checkpoint: _Checkpoint


class _Lists(msgspec.Struct):
    """A worker's lists of running and finished runs."""

    clock_ms: border.Milliseconds
    running: list[msgspec.Raw] = []
    finished: list[msgspec.Raw] = []
    born: border.UnixTime = 0


class _Identity(msgspec.Struct):
    """What distinguishes one incarnation from another; 0 if not given."""

    born: border.UnixTime = 0  # milliseconds


class _Answer(msgspec.Struct):
    """Any other answer of a worker."""

    reason: str = ''


def decode_heartbeat(worker_id, body):
    """Return the ``Announcement`` in a heartbeat.

    Raises:
        BadInputError: It can't be decoded, or its state is unknown.
    """
    with _HEARTBEAT_GUARD:
        border.check_printable(worker_id, what='id')
        heartbeat = msgspec.json.decode(body, type=_Heartbeat)
        border.parse_peer(heartbeat.address)
        if heartbeat.state not in ('ready', 'draining'):
            raise errors.BadInputError(
                f'unknown state {util.shorten(repr(heartbeat.state))}',
                step='decode heartbeat',
            )
    return server_client.Announcement(
        state=message.ServerState(
            id=worker_id,
            born_ms=heartbeat.born,
            pool=heartbeat.service,
            zone=heartbeat.zone,
            labels=heartbeat.labels,
            rack=heartbeat.labels[1] if len(heartbeat.labels) > 1 else '',
            cpu=heartbeat.capacity.cpu,
            memory_mb=heartbeat.capacity.mem_mb,
            gpu=heartbeat.capacity.gpu,
            draining=heartbeat.state == 'draining',
            remaining_ms=heartbeat.remaining_ms,
            warming_ms=max(0, int(heartbeat.cold_remaining_ms)),
        ),
        address=heartbeat.address,
        sequence=heartbeat.sequence,
    )


def decode_deregistration(worker_id, body):
    """Return the id and the start in Unix ms of a worker that deregisters.

    The start is 0 if it isn't given.

    Raises:
        BadInputError: It can't be decoded.
    """
    with _DEREGISTRATION_GUARD:
        border.check_printable(worker_id, what='id')
        born_ms = _decode_answer(body, _Identity).born if body else 0
    return worker_id, born_ms


class _WorkerConnection(expectation.ConfirmedConnection):
    """Connection to a worker, whose lists are its largest answers."""

    max_answer_bytes = MAX_ANSWER_BYTES


class _IncarnationPool(answer.Pool):
    """Connections to one incarnation of a worker.

    A worker that crashes may restart under the same id, and the header that
    names the intended worker contains only that id. Connections don't
    outlive the incarnation, so each new one is checked once.

    A worker may close each connection after an answer, so that a call needs
    another one than its check. The body of such a call is sent once the
    worker has asked for it on that connection, and has shown its incarnation
    on another one afterwards: only one incarnation exists at a time, so the
    one that asked was the same.

    Args:
        check: Called with the fencing token and each new connection; raises
            an error if the connection must not be used.
        record_closing: Called when the worker has closed a connection with
            the answer to a check, and had kept the one before.

    Attributes:
        epoch: Newest fencing token of calls to the incarnation. With an older
            one than it has seen, it would refuse without showing which
            incarnation it is.
    """

    ConnectionCls = _WorkerConnection

    def __init__(self, *, check, record_closing, **kwargs):
        super().__init__(**kwargs)
        self._check = check
        self._record_closing = record_closing
        self._is_closing = False
        self.epoch = 0

    def _validate_conn(self, conn):
        # The library calls this before each request on a connection.
        super()._validate_conn(conn)
        if not conn.is_closed:
            return
        conn.confirm = None
        conn.connect()
        if not self._is_closing:
            self._check(self.epoch, conn)
            is_closed = conn.is_closed
            self._set_closing(is_closed)
            if not is_closed:
                return
            conn.connect()
        # Not even the head of a call is sent to another incarnation that
        # has accepted the connection.
        self._check_elsewhere()
        conn.confirm = self._check_elsewhere

    def _check_elsewhere(self):
        """Check the incarnation on a connection of its own."""
        conn = self.ConnectionCls(
            self.host, self.port, timeout=CONNECT_TIMEOUT_S
        )
        try:
            conn.connect()
            self._check(self.epoch, conn)
            self._set_closing(conn.is_closed)
        finally:
            conn.close()

    def _set_closing(self, is_closing):
        if is_closing and not self._is_closing:
            self._record_closing()
        self._is_closing = is_closing


class WorkerClient(server_client.ServerClient):
    """Calls the worker on this machine, on connections to one incarnation.

    Args:
        clock: The ``Clock`` of its log lines.
    """

    def __init__(self, *, clock=None):
        self._log = log.BoundedLog(
            logger=_logger, clock=clock or clocks.SystemClock()
        )
        self._lock = threading.Lock()
        self._incarnation = None
        self._pool = None

    def start_run(self, target, order, *, deadline_ms, epoch):
        """Start a run and return a ``StartResult``."""
        fields = {
            **_encode_run(order.run),
            'spec': order.spec,
            'deadline_ms': deadline_ms,
            'fencing_token': epoch,
        }
        if order.checkpoint:
            fields['checkpoint'] = order.checkpoint
        status, body = self._post(target, '/run-start', fields)
        if status == 200:
            return StartResult.STARTED
        if status in (429, 503):
            return StartResult.BUSY
        if status == STATUS_OTHER_INSTANCE:
            return StartResult.OTHER_INCARNATION
        if not _is_refusal(status):
            raise errors.PeerError(
                f'HTTP status {status}; the run may have been started',
                step='start run',
                peer=target.address,
            )
        if _read_reason(body) == REASON_LATE:
            return StartResult.LATE
        return StartResult.REJECTED

    def stop_run(self, target, run, *, epoch):
        """Stop a run; if it has not started yet, its start is rejected."""
        fields = {**_encode_run(run), 'fencing_token': epoch}
        status, body = self._post(target, '/run-stop', fields)
        self._check(target, 'stop run', status, body)

    def pace_run(self, target, run, *, percent, epoch):
        """Limit a run to a percentage of its full speed."""
        fields = {
            **_encode_run(run),
            'percentage': percent,
            'fencing_token': epoch,
        }
        status, body = self._post(target, '/pace', fields)
        self._check(target, 'pace run', status, body)

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        """Extend the lease of all runs there and return a ``Listing``."""
        fields = {'fencing_token': epoch, 'ack_cursor': acked}
        if deadline_ms is not None:
            fields['deadline_ms'] = deadline_ms
        if wait_ms:
            fields['wait_ms'] = wait_ms
        status, body = self._post(
            target, '/hold', fields, timeout_s=CALL_TIMEOUT_S + wait_ms / 1000
        )
        self._check(target, 'hold', status, body)
        return decode_lists(body, acked=acked)

    def close(self):
        """Close idle connections."""
        with self._lock:
            if self._pool is not None:
                self._pool.close()
            self._incarnation = self._pool = None

    def _get_pool(self, target, epoch):
        """Return the connection pool of the target's incarnation."""
        state = target.state
        incarnation = (target.address, state.id, state.born_ms)
        with self._lock:
            if incarnation != self._incarnation:
                if self._pool is not None:
                    self._pool.close()
                host, port = util.parse_address(target.address)
                self._pool = _IncarnationPool(
                    host=host,
                    port=port,
                    maxsize=MAX_CONNECTIONS,
                    retries=False,
                    check=functools.partial(_check_incarnation, target),
                    record_closing=functools.partial(
                        self._record_closing, target
                    ),
                )
                self._incarnation = incarnation
            self._pool.epoch = max(self._pool.epoch, epoch)
            return self._pool

    def _record_closing(self, target):
        self._log.warning(
            'closing',
            'worker closes its connections; each call is confirmed first',
            backend=target.state.id,
            born_ms=target.state.born_ms,
            address=target.address,
        )

    def _check(self, target, step, status, body):
        if status == 200:
            return
        if status == STATUS_OTHER_INSTANCE:
            raise errors.GoneError(
                'another incarnation of the worker answered',
                step=step,
                peer=target.address,
            )
        if _read_reason(body) == REASON_FENCE:
            raise errors.FencedError(
                'the worker has seen a higher fencing token',
                step=step,
                peer=target.address,
            )
        kind = errors.RefusedError if _is_refusal(status) else errors.PeerError
        raise kind(f'HTTP status {status}', step=step, peer=target.address)

    def _post(self, target, path, fields, *, timeout_s=CALL_TIMEOUT_S):
        pool = self._get_pool(target, fields['fencing_token'])
        try:
            response = pool.urlopen(
                'POST',
                path,
                body=msgspec.json.encode(fields),
                headers=_build_headers(target),
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, total=timeout_s
                ),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise errors.NotListeningError(
                    'connection refused: no worker listens at this address',
                    step=path,
                    peer=target.address,
                ) from error
            raise _build_peer_error(error, target, path) from error
        except urllib3.exceptions.HTTPError as error:
            answer.release_parts(error)
            raise _build_peer_error(error, target, path) from error
        return response.status, response.data


def _is_refusal(status):
    """Return whether a status says that nothing was done, for good."""
    return 400 <= status < 500 and status not in RETRIED_STATUSES


def _build_headers(target):
    return {
        'Content-Type': 'application/json',
        INSTANCE_HEADER: target.state.id,
    }


def _check_incarnation(target, epoch, conn):
    """Check that a connection leads to the target's incarnation.

    Raises:
        GoneError: It leads to another incarnation.
        FencedError: The worker has seen a higher fencing token.
        PeerError: There is no answer, or it shows no incarnation. The call
            for which the connection was opened isn't sent.
    """
    # Neither acknowledges ends nor extends the lease: another incarnation
    # numbers its ends and counts its clock from the start again.
    body = msgspec.json.encode({'fencing_token': epoch, 'ack_cursor': 0})
    headers = _build_headers(target)
    try:
        conn.request('POST', '/hold', body=body, headers=headers)
        response = conn.getresponse()
    except (OSError, http.client.HTTPException) as error:
        raise errors.PeerError(
            f'no answer: {error}', step='connect', peer=target.address
        ) from error
    status, data = response.status, response.data
    born_ms = 0 if status == STATUS_OTHER_INSTANCE else _read_born(data)
    # This status identifies another incarnation, with or without a body.
    if status == STATUS_OTHER_INSTANCE or born_ms not in (
        0,
        target.state.born_ms,
    ):
        raise errors.GoneError(
            'another incarnation of the worker answered',
            step='connect',
            peer=target.address,
        )
    if status == 200 or born_ms:
        return
    if _read_reason(data) == REASON_FENCE:
        raise errors.FencedError(
            'the worker has seen a higher fencing token',
            step='connect',
            peer=target.address,
        )
    # Any incarnation may refuse a call without naming its start.
    raise errors.PeerError(
        f'HTTP status {status} shows no incarnation',
        step='connect',
        peer=target.address,
    )


def _read_born(body):
    """Return the start that an answer names, 0 if it names none.

    Raises:
        PeerError: It can't be decoded.
    """
    with _ANSWER_GUARD:
        return _decode_answer(body, _Identity).born


def _build_peer_error(error, target, path):
    error_class = errors.PeerError
    is_large = isinstance(error.__cause__, answer.AnswerTooLargeError)
    if isinstance(error, urllib3.exceptions.ProtocolError) and not is_large:
        error_class = errors.CutOffError
    return error_class(f'no answer: {error}', step=path, peer=target.address)


def _read_reason(body):
    try:
        with _ANSWER_GUARD:
            return _decode_answer(body, _Answer).reason
    except errors.PeerError:
        # Answers without a body contain no reason.
        return ''


def _encode_run(run):
    return {'task': f'{run.workflow}.{run.task}', 'run': run.number}


def decode_lists(body, *, acked):
    """Return the ``Listing`` in a worker's answer; its odd rows are left out.

    Args:
        body: JSON of the answer, as bytes.
        acked: Number of the newest end that has been acknowledged.

    Raises:
        PeerError: It can't be decoded.
    """
    with _ANSWER_GUARD:
        lists = _decode_answer(body, _Lists)
        max_number = acked + MAX_UNACKNOWLEDGED_ENDS
        ends = _decode_rows(
            lists.finished,
            functools.partial(_decode_end, max_number=max_number),
        )
        odd_ends = set()
        if len(ends) < len(lists.finished):
            named = {_find_run(row) for row in lists.finished}
            odd_ends = named - {None} - {end.run for end in ends}
        return server_client.Listing(
            clock_ms=lists.clock_ms,
            born_ms=lists.born,
            running=_decode_rows(lists.running, _decode_running),
            ends=ends,
            is_whole=len(lists.finished) < server_client.MAX_ENDS,
            odd_ends=odd_ends,
        )


def _decode_answer(body, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except RecursionError:
        return msgspec.json.decode(border.prune_json(body), type=kind)


def _decode_rows(rows, decode):
    decoded = []
    for row in rows:
        try:
            with _ROW_GUARD:
                decoded.append(decode(row))
        except errors.BadInputError:
            # It was logged; the other rows hold.
            continue
    return decoded


def _find_run(raw):
    """Return the run that a row of an end names, or None."""
    try:
        row = msgspec.json.decode(raw, type=_EndedRunRow)
        return _decode_run(row)
    except (msgspec.MsgspecError, RecursionError, ValueError):
        return None


def _decode_run(row):
    if not TASK_NAME.fullmatch(row.task):
        raise ValueError(f'no name of a task: {row.task!r}')
    workflow_id, _, task = row.task.partition('.')
    return workflow_commands.RunRef(workflow_id, task, row.run)


def _decode_running(raw):
    try:
        row = msgspec.json.decode(raw, type=_RunningRow)
    except msgspec.ValidationError:
        # The run is present, whatever else is said of it.
        run_row = msgspec.json.decode(raw, type=_RunRow)
        row = _RunningRow(task=run_row.task, run=run_row.run)
    return message.Running(
        _decode_run(row), row.checkpoint, row.percent, row.gauge
    )


def _decode_end(raw, *, max_number):
    row = msgspec.json.decode(raw, type=_EndRow)
    if row.number > max_number:
        raise ValueError(f'no number of an end: {row.number}')
    return workflow_commands.RunEnd(
        row.number, _decode_run(row), row.how, row.checkpoint
    )

"""The infrastructure's workers: their heartbeats, and calls to them."""

import functools
import threading

import msgspec
import urllib3

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven import util
from bilberryhaven.workflow import message
from bilberryhaven.workflow import server_client

__all__ = ['WorkerClient', 'decode_heartbeat']

# A start is answered within a few milliseconds; what takes longer is tried
# again, which a worker that has carried it out answers likewise.
CALL_SECONDS = 0.4
CONNECT_SECONDS = 0.4
CONNECTIONS = 8
INSTANCE_HEADER = 'X-Expected-Instance'
REASON_LATE = 'late'
REASON_FENCE = 'fence'
STATUS_OTHER_INSTANCE = 421
StartResult = server_client.StartResult


class _Capacity(msgspec.Struct):
    """Room of a worker."""

    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0


class _Heartbeat(msgspec.Struct):
    """What a worker says of itself."""

    service: str
    address: str
    state: str
    sequence: int
    capacity: _Capacity
    zone: str = ''
    labels: list[str] = []  # its kind, then its rack
    remaining_ms: int = 0
    born: int = 0  # Unix milliseconds


class _Lists(msgspec.Struct):
    """A worker's lists.

    ``running`` has rows of task, run, checkpoint, percent and a figure;
    ``finished`` has rows of number, task, run, how and checkpoint.
    """

    clock_ms: int
    running: list[list] = []
    finished: list[list] = []
    born: int = 0


class _Identity(msgspec.Struct):
    """What tells one life from another; 0 where it isn't told."""

    born: int = 0  # Unix milliseconds


class _Answer(msgspec.Struct):
    """Any other answer of a worker."""

    clock_ms: int = 0
    reason: str = ''


def decode_heartbeat(worker_id, body):
    """Return the ``Announcement`` in a heartbeat.

    Raises:
        BadInputError: It can't be read, or says nothing that is known.
    """
    try:
        beat = msgspec.json.decode(body, type=_Heartbeat)
        util.parse_address(beat.address)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.BadInputError(
            f'no heartbeat: {error}', step='decode heartbeat'
        ) from error
    if beat.state not in ('ready', 'draining'):
        raise errors.BadInputError(
            f'unknown state {beat.state!r}', step='decode heartbeat'
        )
    return server_client.Announcement(
        state=message.ServerState(
            id=worker_id,
            born_ms=beat.born,
            pool=beat.service,
            zone=beat.zone,
            labels=beat.labels,
            rack=beat.labels[1] if len(beat.labels) > 1 else '',
            cpu=beat.capacity.cpu,
            memory_mb=beat.capacity.mem_mb,
            gpu=beat.capacity.gpu,
            draining=beat.state == 'draining',
            remaining_ms=beat.remaining_ms,
        ),
        address=beat.address,
        sequence=beat.sequence,
    )


class _LifePool(urllib3.HTTPConnectionPool):
    """Connections to one life of a worker.

    A worker that crashes may come back under the id that it had, and the
    header that names the intended worker holds no more than that id. Its
    connections don't outlive it, so each new one is checked once.

    Args:
        check: Called with each new connection; raises if it isn't to be used.
    """

    def __init__(self, *, check, **kwargs):
        super().__init__(**kwargs)
        self._check = check

    def _validate_conn(self, conn):
        # The library calls this before each request on a connection.
        super()._validate_conn(conn)
        if conn.is_closed:
            conn.connect()
            self._check(conn)


class WorkerClient(server_client.ServerClient):
    """Calls the worker on this machine over kept-alive connections."""

    def __init__(self):
        self._lock = threading.Lock()
        self._life = None
        self._pool = None

    def start_run(self, target, order, *, deadline_ms, epoch):
        """Start a run and return a ``Verdict``."""
        fields = {
            **_name_run(order.run),
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
        if _read_reason(body) == REASON_LATE:
            return StartResult.LATE
        return StartResult.REJECTED

    def stop_run(self, target, run, *, epoch):
        """Stop a run; one that isn't there yet will be rejected."""
        fields = {**_name_run(run), 'fencing_token': epoch}
        status, body = self._post(target, '/run-stop', fields)
        self._check(target, 'stop run', status, body)

    def pace_run(self, target, run, *, percent, epoch):
        """Let a run work at a share of its speed."""
        fields = {
            **_name_run(run),
            'percentage': percent,
            'fencing_token': epoch,
        }
        status, body = self._post(target, '/pace', fields)
        self._check(target, 'pace run', status, body)

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        """Prolong the lease of all that runs there; return a ``Listing``."""
        fields = {'fencing_token': epoch, 'ack_cursor': acked}
        if deadline_ms is not None:
            fields['deadline_ms'] = deadline_ms
        if wait_ms:
            fields['wait_ms'] = wait_ms
        status, body = self._post(
            target, '/hold', fields, seconds=CALL_SECONDS + wait_ms / 1000
        )
        self._check(target, 'hold', status, body)
        try:
            lists = msgspec.json.decode(body, type=_Lists)
            return server_client.Listing(
                clock_ms=lists.clock_ms,
                born_ms=lists.born,
                running=[_read_running(*row) for row in lists.running],
                ends=[_read_end(*row) for row in lists.finished],
            )
        except (msgspec.MsgspecError, ValueError, TypeError) as error:
            raise errors.PeerError(
                f'unreadable lists: {error}', step='hold', peer=target.address
            ) from error

    def close(self):
        """Close idle connections."""
        with self._lock:
            if self._pool is not None:
                self._pool.close()
            self._life = self._pool = None

    def _find_pool(self, target, epoch):
        """Return the connections to the life that is meant."""
        state = target.state
        life = (target.address, state.id, state.born_ms)
        with self._lock:
            if life != self._life:
                if self._pool is not None:
                    self._pool.close()
                host, port = util.parse_address(target.address)
                self._pool = _LifePool(
                    host=host,
                    port=port,
                    maxsize=CONNECTIONS,
                    retries=False,
                    check=functools.partial(_check_life, target, epoch),
                )
                self._life = life
            return self._pool

    def _check(self, target, step, status, body):
        if status == 200:
            return
        if status == STATUS_OTHER_INSTANCE:
            raise errors.GoneError(
                'another life of the worker answered',
                step=step,
                peer=target.address,
            )
        if _read_reason(body) == REASON_FENCE:
            raise errors.FencedError(
                'the worker knows a higher fencing token',
                step=step,
                peer=target.address,
            )
        raise errors.PeerError(
            f'HTTP status {status}', step=step, peer=target.address
        )

    def _post(self, target, path, fields, *, seconds=CALL_SECONDS):
        pool = self._find_pool(target, fields['fencing_token'])
        try:
            response = pool.urlopen(
                'POST',
                path,
                body=msgspec.json.encode(fields),
                headers=_build_headers(target),
                timeout=urllib3.Timeout(
                    connect=CONNECT_SECONDS, total=seconds
                ),
                retries=False,
                redirect=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise errors.GoneError(
                    'nothing listens there any more',
                    step=path,
                    peer=target.address,
                ) from error
            raise _describe_fault(error, target, path) from error
        except urllib3.exceptions.HTTPError as error:
            raise _describe_fault(error, target, path) from error
        return response.status, response.data


def _build_headers(target):
    return {
        'Content-Type': 'application/json',
        INSTANCE_HEADER: target.state.id,
    }


def _check_life(target, epoch, conn):
    """Check that the life which is meant is at the other end.

    Raises:
        GoneError: Another one is there.
        PeerError: It can't be told.
    """
    # Acknowledges nothing and prolongs nothing: ends and clock of another
    # life would be counted anew.
    body = msgspec.json.encode({'fencing_token': epoch, 'ack_cursor': 0})
    conn.request('POST', '/hold', body=body, headers=_build_headers(target))
    response = conn.getresponse()
    try:
        born_ms = msgspec.json.decode(response.data, type=_Identity).born
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.PeerError(
            f'unreadable lists: {error}', step='connect', peer=target.address
        ) from error
    known = response.status == STATUS_OTHER_INSTANCE or born_ms
    if known and born_ms != target.state.born_ms:
        raise errors.GoneError(
            'another life of the worker answered',
            step='connect',
            peer=target.address,
        )


def _describe_fault(error, target, path):
    return errors.PeerError(
        f'no answer: {error}', step=path, peer=target.address
    )


def _read_reason(body):
    try:
        return msgspec.json.decode(body, type=_Answer).reason
    except (msgspec.MsgspecError, UnicodeDecodeError):
        # An answer without a body gives no reason.
        return ''


def _name_run(run):
    return {'task': f'{run.workflow}.{run.task}', 'run': run.number}


def _read_run(name, number):
    workflow_id, _, task = name.partition('.')
    return workflow_commands.RunRef(workflow_id, task, int(number))


def _read_running(name, number, checkpoint, percent, figure=0):
    return message.Running(
        _read_run(name, number), checkpoint, percent, figure
    )


def _read_end(number, name, run, how, checkpoint):
    return workflow_commands.RunEnd(
        int(number), _read_run(name, run), how, checkpoint
    )

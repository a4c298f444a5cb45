"""Stand-in backend server that simulates requests and tasks in memory."""

import threading

from bilberryhaven.agent import protocol
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.standin import faults as fault_injection
from bilberryhaven.standin import http
from bilberryhaven.standin import requests
from bilberryhaven.standin import resources
from bilberryhaven.standin import tasks
from bilberryhaven.standin import usage
from bilberryhaven import util
from bilberryhaven.wire import message

__all__ = ['StandinServer']

USAGE_LAG = clocks.seconds(2)


class StandinServer:
    """A backend server, by default with 8 slots and 64 connections.

    Args:
        name: Name of the server.
        address: HOST:PORT to listen on; port 0 picks a free one.
        capacity: Its ``Capacity``, with ``slots`` and ``connections``.
        clock: The ``Clock`` for tasks, leases and usage.
        service_times_ms: Service time in milliseconds by workload.
        faults: The ``Faults`` to inject; they may be changed while it runs.
        usage_lag: Lag with which usage is reported, a timedelta.

    Attributes:
        boot: Id of this start of the server.
        owner: Name of the agent that is attached, or empty.
        resources: The ``ResourceTracker``.
    """

    def __init__(
        self,
        *,
        name='standin',
        address='127.0.0.1:0',
        capacity=None,
        clock=None,
        service_times_ms=None,
        faults=None,
        usage_lag=USAGE_LAG,
    ):
        self.name = name
        self.boot = util.create_id('boot')
        self.owner = ''
        self.faults = faults or fault_injection.Faults()
        capacity = capacity or message.Capacity()
        self.resources = resources.ResourceTracker(
            slots=capacity.slots, connections=capacity.connections
        )
        self._lock = threading.RLock()
        self._tasks = tasks.TaskRunner(
            clock=clock or clocks.SystemClock(),
            resources=self.resources,
            faults=self.faults,
        )
        self._requests = requests.RequestRunner(
            resources=self.resources,
            lock=self._lock,
            service_times_ms=service_times_ms or {},
            faults=self.faults,
        )
        self._usage = usage.UsageLog(
            clock=clock or clocks.SystemClock(), lag=usage_lag
        )
        self._http = http.HttpServer(
            address=address,
            handle=self._handle,
            resources=self.resources,
            lock=self._lock,
        )
        self._routes = _build_routes(self)

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        return self._http.address

    @property
    def runs(self):
        """How often each request id was run, a Counter."""
        return self._requests.runs

    @property
    def task_starts(self):
        """How often each job was started, a Counter."""
        return self._tasks.starts

    def start(self):
        """Start listening and serving."""
        self._http.start()

    def release_requests(self):
        """Answer hanging and running requests, and later ones, at once."""
        self._requests.stop()

    def stop(self):
        """Answer hanging and running requests, then stop listening."""
        self.release_requests()
        self._http.stop()

    def list_violations(self):
        """Return exceeded limits and double starts, one line for each."""
        with self._lock:
            return self.resources.list_violations()

    def list_tasks(self):
        """Return the ``TaskStatus`` of each retained task."""
        with self._lock:
            return [task.describe() for task in self._tasks.list_tasks()]

    def cancel_task(self, task_id):
        """Stop a task without an agent's order, as if it had ended itself."""
        with self._lock:
            task = self._tasks.find(task_id)
            self._tasks.stop(task_id, task.start.epoch)

    def get_status(self):
        """Return the ``Status``."""
        with self._lock:
            lease_remaining = self._tasks.get_lease_remaining()
            return protocol.Status(
                boot=self.boot,
                owner=self.owner,
                ticket=self._tasks.issue_ticket(),
                session=self._tasks.session,
                lease_remaining_ms=lease_remaining // tasks.MILLISECOND,
                tasks=self.list_tasks(),
                slots_used=self.resources.slots_used,
                requests=self._requests.list_running(),
            )

    def _handle(self, method, parts, body):
        for verb, pattern, handler in self._routes:
            names = _match_path(pattern, parts)
            if verb == method and names is not None:
                return handler(*names, body)
        raise errors.NotFoundError(
            f'{method} /{"/".join(parts)} does not exist', step='dispatch'
        )

    def _check_owner(self, owner, step):
        if owner != self.owner:
            raise errors.FencedError(
                f'agent {self.owner!r} is attached, not {owner!r}', step=step
            )

    def _read_order(self, cls, body, step):
        order = protocol.read_body(cls, body, step=step)
        self._check_owner(order.owner, step)
        return order

    def _attach(self, body):
        order = protocol.read_body(protocol.Attachment, body, step='attach')
        with self._lock:
            former_owner, self.owner = self.owner, order.owner
            status = self.get_status()
        status.former_owner = former_owner
        return http.Reply(value=status)

    def _show_status(self, body):
        return http.Reply(value=self.get_status())

    def _run_request(self, body):
        request = protocol.read_body(
            protocol.ServiceRequest, body, step=requests.STEP
        )
        with self._lock:
            self._check_owner(request.owner, requests.STEP)
        answer = self._requests.run(request)
        return http.Reply(
            value=answer,
            lost=self.faults.lose_answer,
            truncated=self.faults.truncate_answer,
        )

    def _revoke_request(self, request_id, body):
        state = self._requests.revoke(request_id)
        return http.Reply(
            value=protocol.RequestState(id=request_id, state=state)
        )

    def _renew_lease(self, body):
        with self._lock:
            grant = self._read_order(protocol.LeaseGrant, body, 'renew lease')
            self._tasks.renew(grant)
        return http.Reply(value=self.get_status())

    def _start_task(self, body):
        with self._lock:
            order = self._read_order(
                protocol.TaskStart, body, tasks.STEP_START
            )
            task = self._tasks.start(order)
            return http.Reply(status=201, value=task.describe())

    def _show_task(self, task_id, body):
        with self._lock:
            return http.Reply(value=self._tasks.find(task_id).describe())

    def _checkpoint_task(self, task_id, body):
        with self._lock:
            order = self._read_order(
                protocol.TaskOrder, body, 'checkpoint task'
            )
            task = self._tasks.find_current(task_id, order.epoch)
            status = task.describe()
            status.checkpoint = task.build_checkpoint()
            return http.Reply(value=status)

    def _throttle_task(self, task_id, body):
        with self._lock:
            order = self._read_order(protocol.TaskOrder, body, 'throttle task')
            task = self._tasks.throttle(task_id, order.epoch, order.share)
            return http.Reply(value=task.describe())

    def _stop_task(self, task_id, body):
        with self._lock:
            order = self._read_order(protocol.TaskOrder, body, 'stop task')
            task = self._tasks.stop(task_id, order.epoch)
            return http.Reply(value=task.describe())

    def _forget_task(self, task_id, body):
        with self._lock:
            order = self._read_order(protocol.TaskOrder, body, 'forget task')
            self._tasks.forget(task_id, order.epoch)
        return http.Reply(value={})

    def _show_usage(self, body):
        with self._lock:
            running = self._tasks.list_tasks()
            report = self._usage.report(running, self._requests.list_running())
        return http.Reply(value=report)


def _build_routes(server):
    return [
        ('POST', 'v1/attach', server._attach),
        ('GET', 'v1/status', server._show_status),
        ('POST', 'v1/requests', server._run_request),
        ('DELETE', 'v1/requests/*', server._revoke_request),
        ('POST', 'v1/lease', server._renew_lease),
        ('POST', 'v1/tasks', server._start_task),
        ('GET', 'v1/tasks/*', server._show_task),
        ('POST', 'v1/tasks/*/checkpoint', server._checkpoint_task),
        ('POST', 'v1/tasks/*/throttle', server._throttle_task),
        ('POST', 'v1/tasks/*/stop', server._stop_task),
        ('DELETE', 'v1/tasks/*', server._forget_task),
        ('GET', 'v1/usage', server._show_usage),
    ]


def _match_path(pattern, parts):
    pattern_segments = pattern.split('/')
    if len(pattern_segments) != len(parts):
        return None
    names = []
    for segment, part in zip(pattern_segments, parts, strict=True):
        if segment == '*':
            names.append(part)
        elif segment != part:
            return None
    return names

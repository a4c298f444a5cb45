"""Service requests of a stand-in backend server."""

import collections
import threading

from bilberryhaven.agent import protocol
from bilberryhaven import errors
from bilberryhaven import util

__all__ = ['RequestRunner']

DEFAULT_SERVICE_MS = 5.0
MAX_ENDED_REQUESTS = 10_000
STEP = 'run request'


class RequestRunner:
    """Runs service requests, each in its caller's thread.

    Args:
        resources: ``ResourceTracker`` to acquire slots from.
        lock: Lock that guards ``resources`` and this object.
        service_times_ms: Service time in milliseconds by workload.
        faults: The injected ``Faults``.

    Attributes:
        runs: Counter of how often each request id was run.
    """

    def __init__(self, *, resources, lock, service_times_ms, faults):
        self._resources = resources
        self._lock = lock
        self._service_times_ms = service_times_ms
        self._faults = faults
        self._stopping = threading.Event()
        self._running = {}
        self._ended = collections.OrderedDict()
        self.runs = collections.Counter()

    def run(self, request):
        """Run a request and return its complete answer.

        Raises:
            RefusedError: The request was revoked.
            OverloadError: No slot is free.
        """
        with self._lock:
            self._record_start(request)
        try:
            self._work(request)
        finally:
            with self._lock:
                self._record_end(request)
        if self._faults.fail_all:
            raise errors.InternalError(
                'failing all requests', step=STEP, outcome=errors.Outcome.RAN
            )
        return self._build_answer(request)

    def revoke(self, request_id):
        """Prevent a request from starting and return its state."""
        with self._lock:
            if request_id in self._running:
                return 'running'
            if request_id not in self._ended:
                self._record_state(request_id, 'not_run')
            return self._ended[request_id]

    def list_running(self):
        """Return the ``RequestStatus`` of each running request."""
        return list(self._running.values())

    def stop(self):
        """Make requests that hang or wait answer immediately."""
        self._stopping.set()

    def _record_start(self, request):
        if self._ended.get(request.id) == 'not_run':
            raise errors.RefusedError(
                'the request was revoked', step=STEP, request_id=request.id
            )
        self._resources.acquire(1, step=STEP)
        self.runs[request.id] += 1
        if self.runs[request.id] > 1:
            self._resources.double_starts.append(request.id)
        self._running[request.id] = protocol.RequestStatus(
            id=request.id, workload=request.workload
        )

    def _work(self, request):
        if self._faults.fail_all:
            return
        if self._faults.hang:
            self._stopping.wait()
        service_time_ms = self._service_times_ms.get(
            request.workload, DEFAULT_SERVICE_MS
        )
        self._stopping.wait(service_time_ms * self._faults.slowdown / 1000)

    def _record_end(self, request):
        self._running.pop(request.id, None)
        self._resources.release(1)
        self._record_state(request.id, 'finished')

    def _record_state(self, request_id, state):
        self._ended[request_id] = state
        while len(self._ended) > MAX_ENDED_REQUESTS:
            self._ended.popitem(last=False)

    def _build_answer(self, request):
        if self._faults.late_ms:
            self._stopping.wait(self._faults.late_ms / 1000)
        body = request.workload.encode() + b': ' + request.body
        answer = protocol.Answer(
            id=request.id,
            body=body,
            length=len(body),
            digest=util.compute_digest(body),
        )
        if self._faults.wrong_size:
            answer.length += 1
        if self._faults.wrong_digest:
            answer.digest = util.compute_digest(b'another')
        if self._faults.crossed_answer:
            answer.id = 'another'
        return answer

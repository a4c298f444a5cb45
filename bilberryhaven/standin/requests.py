"""Service requests of a stand-in backend server."""

import collections
import threading

from bilberryhaven.agent import protocol
from bilberryhaven import errors
from bilberryhaven import util

__all__ = ['RequestRunner']

DEFAULT_SERVICE_MS = 5.0
KEPT_REQUESTS = 10_000
STEP = 'run request'


class RequestRunner:
    """Runs service requests, each in its caller's thread.

    Args:
        ledger: Where slots are taken from.
        lock: Guards the ledger and this object.
        services: Service time in milliseconds by workload.
        faults: Fault switches.
    """

    def __init__(self, *, ledger, lock, service_times_ms, faults):
        self._ledger = ledger
        self._lock = lock
        self._services = service_times_ms
        self._faults = faults
        self._stopping = threading.Event()
        self._running = {}
        self._ended = collections.OrderedDict()
        self.runs = collections.Counter()

    def run(self, request):
        """Run a request and return its whole answer.

        Raises:
            RefusedError: Its id was revoked.
            OverloadError: No slot is free.
        """
        with self._lock:
            self._begin(request)
        try:
            self._work(request)
        finally:
            with self._lock:
                self._finish(request)
        if self._faults.fail_all:
            raise errors.InternalError(
                'failing all requests', step=STEP, outcome=errors.Outcome.RAN
            )
        return self._build_answer(request)

    def revoke(self, request_id):
        """Keep a request from starting; return where it stands."""
        with self._lock:
            if request_id in self._running:
                return 'running'
            if request_id not in self._ended:
                self._remember(request_id, 'not_run')
            return self._ended[request_id]

    def list_running(self):
        """Return a ``RequestStatus`` of each request that runs."""
        return list(self._running.values())

    def stop(self):
        """Let requests that hang or wait answer at once."""
        self._stopping.set()

    def _begin(self, request):
        if self._ended.get(request.id) == 'not_run':
            raise errors.RefusedError(
                'the request was revoked', step=STEP, request_id=request.id
            )
        self._ledger.take(1, step=STEP)
        self.runs[request.id] += 1
        if self.runs[request.id] > 1:
            self._ledger.double_starts.append(request.id)
        self._running[request.id] = protocol.RequestStatus(
            id=request.id, workload=request.workload
        )

    def _work(self, request):
        if self._faults.fail_all:
            return
        if self._faults.hang:
            self._stopping.wait()
        wait_ms = self._services.get(request.workload, DEFAULT_SERVICE_MS)
        self._stopping.wait(wait_ms * self._faults.slowdown / 1000)

    def _finish(self, request):
        self._running.pop(request.id, None)
        self._ledger.give_back(1)
        self._remember(request.id, 'finished')

    def _remember(self, request_id, state):
        self._ended[request_id] = state
        while len(self._ended) > KEPT_REQUESTS:
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

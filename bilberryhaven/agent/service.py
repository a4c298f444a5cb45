"""The agent of one backend server: its actors, server and lifecycle."""

import json
import threading

from bilberryhaven.agent import actors
from bilberryhaven.agent import admission
from bilberryhaven.agent import backend
from bilberryhaven.agent import leader_client
from bilberryhaven.agent import limits
from bilberryhaven.agent import reporter
from bilberryhaven.agent import requests
from bilberryhaven.agent import session
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven import ticker
from bilberryhaven.wire import client
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import message
from bilberryhaven.wire import server

__all__ = ['Agent']

SPARE_THREADS = 8
DRAIN_POLL_SECONDS = 0.02
HEARTBEAT_TIMEOUT_SECONDS = 10
DRAIN_TIMEOUT = clocks.seconds(30)
DRAIN_NOTICE = clocks.seconds(3)

_logger = log.get_logger('agent')


class Agent:
    """Admits work to one backend server and reports on it.

    Args:
        announcement: The instance, as it is announced; an empty address is
            set once the port is known.
        listen: HOST:PORT to listen on; port 0 picks a free one.
        backend_address: HOST:PORT of the backend server.
        entries: Addresses of entries that relay heartbeats.
        control: Addresses of control instances.
        clock: Source of the time.
        drain_notice: Minimum time for which a leaving agent still sends
            refusals.
        on_replaced: Called once another agent has taken over, or once the
            admission core has failed.
    """

    def __init__(
        self,
        *,
        announcement,
        listen,
        backend_address,
        entries,
        control,
        clock,
        drain_notice=DRAIN_NOTICE,
        on_replaced=None,
    ):
        self._announcement = announcement
        self._backend_address = backend_address
        self._entries = entries
        self._clock = clock
        self._drain_notice = drain_notice
        self._on_replaced = on_replaced
        self._replaced = threading.Event()
        self._incarnation = _get_wall_ms(clock)
        self._limits = limits.Limits(
            slots=announcement.capacity.slots,
            connections=announcement.capacity.connections,
        )
        threads = self._limits.slots + self._limits.queue + SPARE_THREADS
        self._server = server.Server(
            address=listen,
            handlers={
                message.AdmitRequest: self._admit,
                message.RevokeRequest: self._revoke,
            },
            fallback=self._serve_health,
            threads=threads,
        )
        self._client = client.Client()
        self._directory = directory.MemberDirectory(clock=clock, seeds=control)
        self._discovery = discovery.Discovery(
            directory=self._directory, client=self._client, clock=clock
        )
        self._requests = None
        self._admission_ref = None
        self._stopped = threading.Event()

    @property
    def address(self):
        """HOST:PORT that the agent listens on, once started."""
        return self._server.address

    def start(self):
        """Listen, attach to the backend server and open a session."""
        self._server.start()
        if not self._announcement.address:
            self._announcement.address = self._server.address
        self._start_actors()
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name, func=func, interval=interval, clock=self._clock
            )
            for name, func, interval in (
                (
                    'heartbeat',
                    self._send_heartbeat,
                    reporter.HEARTBEAT_INTERVAL,
                ),
                ('discovery', self._discovery.tick, discovery.INTERVAL),
            )
        ]

    def stop(self):
        """Drain and stop: finish requests and return jobs to control.

        Refuses new work meanwhile. Stops anyway ``DRAIN_TIMEOUT`` after the
        drain notice.
        """
        if self._stopped.is_set():
            return
        _logger.info('draining before stop')
        self._admission.drain().get()
        self._reporter.tell(reporter.Leave())
        notice_until = self._clock.monotonic() + self._drain_notice
        drain_deadline = notice_until + DRAIN_TIMEOUT
        while (
            self._is_busy(notice_until)
            and self._clock.monotonic() < drain_deadline
        ):
            self._stopped.wait(DRAIN_POLL_SECONDS)
        self._stop_all_tickers()
        self._server.stop()
        self._close()

    def _stop_all_tickers(self):
        for stop in self._stop_tickers:
            stop()

    def kill(self):
        """Stop immediately, like a crash of the process; for tests."""
        self._stop_all_tickers()
        self._close()
        threading.Thread(target=self._server.stop, daemon=True).start()

    def is_ready(self):
        """Return whether the agent admits work."""
        return self._reporter.proxy().is_ready().get()

    def is_replaced(self):
        """Return whether another agent has taken over or admission failed."""
        return self._replaced.is_set()

    def _mark_replaced(self):
        self._replaced.set()
        if self._on_replaced is not None:
            self._on_replaced()

    def _admit(self, msg):
        self._ensure_started()
        return self._requests.admit(msg)

    def _revoke(self, msg):
        self._ensure_started()
        return self._requests.revoke(msg)

    def _ensure_started(self):
        if self._requests is None:
            raise errors.LeaseLapsedError(
                'the agent is still starting', step='admit'
            )

    def _start_actors(self):
        owner = (
            f'{self._announcement.address}/{self._announcement.name}'
            f'/{self._incarnation}'
        )
        backend_client = backend.BackendClient(
            address=self._backend_address,
            owner=owner,
            clock=self._clock,
            slots=self._limits.slots,
            control_connections=self._limits.control_connections,
        )
        self._backend = backend_client
        core = admission.AdmissionCore(
            limits=self._limits,
            now=self._clock.monotonic(),
            incarnation=self._incarnation,
        )
        self._admission_ref = actors.AdmissionActor.start(
            core=core,
            clock=self._clock,
            on_job=self._tell_reporter,
            on_fault=self._mark_replaced,
        )
        self._admission = self._admission_ref.proxy()
        self._reporter = reporter.ReporterActor.start(
            session=session.Session(
                announcement=self._announcement,
                first_event=self._incarnation,
            ),
            admission=self._admission,
            backend=backend_client,
            leader_client=leader_client.LeaderClient(
                client=self._client,
                entries=self._entries,
                list_control=self._directory.list_addresses,
                name=self._announcement.name,
                clock=self._clock,
            ),
            clock=self._clock,
            owner=owner,
            on_replaced=self._mark_replaced,
        )
        self._requests = requests.RequestHandler(
            admission=self._admission,
            backend=backend_client,
            clock=self._clock,
            on_backend_failure=lambda: self._reporter.tell(reporter.Beat()),
        )

    def _send_heartbeat(self):
        self._reporter.ask(reporter.Beat(), timeout=HEARTBEAT_TIMEOUT_SECONDS)

    def _tell_reporter(self, effect):
        self._reporter.tell(effect)

    def _is_busy(self, notice_until):
        if self._clock.monotonic() < notice_until:
            return True
        if self._admission.has_requests().get():
            return True
        return self._reporter.proxy().has_open_session().get()

    def _close(self):
        self._reporter.stop(block=False)
        self._admission_ref.stop(block=False)
        self._backend.close()
        self._client.close()
        self._stopped.set()

    def _report_health(self):
        if self._requests is None or self._admission_ref.is_alive():
            return server.Response(body=b'{"ok": true}')
        return server.Response(status=503, body=b'{"ok": false}')

    def _serve_health(self, environ, body):
        path = environ['PATH_INFO']
        if path == '/healthz':
            return self._report_health()
        if path == '/readyz':
            ready = self.is_ready()
            return server.Response(
                status=200 if ready else 503,
                body=b'{"ready": true}' if ready else b'{"ready": false}',
            )
        error = errors.NotFoundError(f'unknown path {path}', step='dispatch')
        return server.Response(
            status=error.status, body=json.dumps(error.to_dict()).encode()
        )


def _get_wall_ms(clock):
    return int(clock.wall().timestamp() * 1000)

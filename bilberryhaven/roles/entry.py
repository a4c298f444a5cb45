"""The entry role, wired from settings."""

import concurrent.futures
import datetime
import random
import threading

from bilberryhaven.entry import api
from bilberryhaven.entry import limiter
from bilberryhaven.entry import metrics
from bilberryhaven.entry import relay
from bilberryhaven.entry import request
from bilberryhaven.entry import request_state
from bilberryhaven.entry import service
from bilberryhaven.entry import sync
from bilberryhaven.entry import view
from bilberryhaven import policies
from bilberryhaven.roles import process
from bilberryhaven import ticker
from bilberryhaven import util
from bilberryhaven.wire import client
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import leader
from bilberryhaven.wire import message
from bilberryhaven.wire import server

__all__ = ['EntryRole', 'run']

# More than the sum of the limits below, so that threads remain to refuse
# requests that exceed the limits.
THREADS = 160
MAX_REQUESTS = 96
MAX_HEARTBEATS = 32
MAX_CALLS = 16
ROUTING_POLICY = 'two_choice'
SYNC_INTERVAL = datetime.timedelta(seconds=1)
DRAIN_NOTICE = datetime.timedelta(seconds=3)
DRAIN_TIMEOUT = datetime.timedelta(seconds=125)
KILL_TIMEOUT_S = 1
RELAY_TIMEOUT = datetime.timedelta(seconds=1)


class EntryRole:
    """One entry process.

    Args:
        settings: The process's ``Settings``.
        clock: Source of time.
        drain_notice: How long an entry that is stopping keeps answering
            requests with refusals, so that the load balancer and callers
            with open connections notice; a timedelta.
    """

    def __init__(self, *, settings, clock, drain_notice=DRAIN_NOTICE):
        self._clock = clock
        self._drain_notice = drain_notice
        self._lock = threading.Lock()
        name = settings.name
        delays = {zone.name: zone.delay_ms for zone in settings.zones}
        self._view = view.View(zone=settings.zone, delays=delays)
        self._client = client.Client()
        members = directory.MemberDirectory(
            clock=clock, seeds=settings.control
        )
        self._discovery = discovery.Discovery(
            directory=members, client=self._client, clock=clock
        )
        self._leader = leader.LeaderClient(
            list_addresses=members.list_addresses,
            client=self._client,
            clock=clock,
        )
        rng = random.Random()
        self._core = request.RequestCore(
            name=util.create_id(name),
            view=self._view,
            policy=policies.get_policy_by_name(ROUTING_POLICY)(random=rng),
            clock=clock,
            random=rng,
            limits=request_state.Limits(pending=MAX_REQUESTS),
        )
        self._heartbeats = limiter.ConcurrencyLimiter(
            limit=MAX_HEARTBEATS, step='relay'
        )
        self._metrics = metrics.EntryMetrics()
        self._server = server.Server(
            address=settings.listen,
            handlers={message.Heartbeat: self._relay_heartbeat},
            fallback=self._handle,
            threads=THREADS,
        )
        self._name = name
        self._api = None
        self._service = None
        self._stop_tickers = []
        self._actors = []

    @property
    def address(self):
        """The HOST:PORT that it listens on, once started."""
        return self._server.address

    def start(self):
        """Start serving."""
        self._start_actors()
        self._service = service.EntryService(
            name=self._name,
            core=self._core,
            view=self._view,
            lock=self._lock,
            client=self._client,
            leader=self._leader,
            syncer=self._syncer,
            clock=self._clock,
            metrics=self._metrics,
        )
        self._api = api.Api(
            service=self._service,
            leader=self._leader,
            metrics=self._metrics,
            call_limiter=limiter.ConcurrencyLimiter(
                limit=MAX_CALLS, step='relay call'
            ),
            clock=self._clock,
        )
        self._server.start()
        self._start_tickers()

    def stop(self):
        """Refuse new requests, finish those in progress, then stop."""
        if self._service is not None:
            notice_ends_at = self._clock.monotonic() + self._drain_notice
            self._service.drain(DRAIN_TIMEOUT)
            remaining_s = (
                notice_ends_at - self._clock.monotonic()
            ).total_seconds()
            threading.Event().wait(max(remaining_s, 0.0))
        self._server.stop()
        self._close()

    def kill(self):
        """Stop immediately, without finishing requests in progress."""
        self._close()
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        stopper.join(KILL_TIMEOUT_S)

    def _close(self):
        for stop in self._stop_tickers:
            stop()
        self._leader.close()
        for actor in self._actors:
            actor.stop(block=False)
        if self._service is not None:
            self._service.close()
        self._client.close()

    def is_ready(self):
        """Return whether it accepts new requests."""
        return self._service is not None and self._service.is_ready()

    def _start_actors(self):
        self._syncer = sync.SyncActor.start(
            name=self._name,
            view=self._view,
            lock=self._lock,
            leader=self._leader,
            clock=self._clock,
        )
        self._relay = relay.HeartbeatActor.start(
            name=self._name,
            leader=self._leader,
            on_revision=self._handle_revision,
        )
        self._actors = [self._syncer, self._relay]

    def _start_tickers(self):
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name, func=func, interval=interval, clock=self._clock
            )
            for name, func, interval in (
                ('sync', self._tick, SYNC_INTERVAL),
                ('relay', self._flush, relay.FLUSH_INTERVAL),
                ('discovery', self._discovery.tick, discovery.INTERVAL),
            )
        ]

    def _tick(self):
        self._request_sync()
        self._service.expire_requests()

    def _request_sync(self):
        self._syncer.tell(sync.Renew(requested_at=self._clock.monotonic()))

    def _flush(self):
        self._relay.tell(relay.Flush())

    def _handle_revision(self, revision):
        if revision > self._view.revision:
            self._request_sync()

    def _handle(self, environ, body):
        return self._api.handle(environ, body)

    def _relay_heartbeat(self, heartbeat):
        queued = relay.QueuedHeartbeat(
            heartbeat=heartbeat, future=concurrent.futures.Future()
        )
        with self._heartbeats.enter():
            self._relay.tell(queued)
            return queued.future.result(RELAY_TIMEOUT.total_seconds())


def run(settings, clock):
    """Run an entry until a stop signal arrives."""
    return process.run_until_signal(
        EntryRole(settings=settings, clock=clock), settings
    )

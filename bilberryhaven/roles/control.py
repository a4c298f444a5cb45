"""The control role: replica of the log, leader duties and the API."""

import json
import pathlib

from bilberryhaven import clock as clocks
from bilberryhaven.consensus import replica
from bilberryhaven.consensus import transport
from bilberryhaven.control import api
from bilberryhaven.control import heartbeat
from bilberryhaven.control import leader
from bilberryhaven.control import machine
from bilberryhaven.control import member_store
from bilberryhaven.control import membership
from bilberryhaven.control import redirector
from bilberryhaven.control import sync
from bilberryhaven import errors
from bilberryhaven import metrics
from bilberryhaven.roles import process
from bilberryhaven import ticker
from bilberryhaven.wire import client
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import message
from bilberryhaven.wire import server
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import options as workflow_options

__all__ = ['ControlRole', 'run']

TICK_INTERVAL = clocks.seconds(0.1)
RELAY_TIMEOUT = clocks.seconds(5)
# Held polls occupy no thread, other requests only for the time of a commit.
THREADS = 64
# The remaining threads serve the other control instances, whose votes and
# appends must not wait for requests on workflows.
MAX_WORK_REQUESTS = 48
API_PREFIX = '/v1/'


class ControlRole:
    """One control instance.

    Args:
        settings: The process's ``Settings``.
        clock: The ``Clock``.
        options: The ``Options`` of workflows, or None for the defaults.
        manage_membership: Whether lost members are replaced automatically.
            An instance that has no voters then waits to be added to a quorum
            instead of founding its own.
        replica_options: The ``Options`` of the replica, or None for the
            defaults.

    Attributes:
        directory: The ``MemberDirectory`` of the process.
    """

    def __init__(
        self,
        *,
        settings,
        clock,
        options=None,
        manage_membership=False,
        replica_options=None,
    ):
        self._settings = settings
        self._client = client.Client()
        address = settings.advertise or settings.listen
        self._member_store = member_store.MemberStore(
            folder=settings.data, clock=clock
        )
        self.directory = directory.MemberDirectory(
            clock=clock,
            seeds=settings.control,
            local=address,
            on_changed=self._member_store.save,
        )
        self.metrics = metrics.Metrics()
        self.server = server.Server(
            address=settings.listen,
            handlers=self._list_handlers(),
            fallback=self._serve_http,
            threads=THREADS,
            limits={message.WorkRequest: MAX_WORK_REQUESTS},
        )
        self._machine = machine.TableStateMachine(
            on_applied=self._handle_applied
        )
        voters = settings.voters
        if not voters and not manage_membership:
            voters = {settings.name: settings.listen}
        self.replica = replica.Replica(
            name=settings.name,
            address=address,
            voters=voters,
            folder=pathlib.Path(settings.data),
            machine=self._machine,
            clock=clock,
            transport=transport.WireTransport(client=self._client),
            options=replica_options,
        )
        self.leader = leader.Leader(
            settings=settings,
            clock=clock,
            replica=self.replica,
            machine=self._machine,
        )
        options = options or workflow_options.build_options(settings.workflows)
        members = membership.MembershipController(
            replica=self.replica, clock=clock, voters=options.voters
        )
        self.workflows = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self._machine,
            clock=clock,
            options=options,
            membership=members if manage_membership else None,
            zones=[zone.name for zone in settings.zones],
        )
        self.leader.zone_orders = self.workflows.zone_orders
        self._heartbeats = heartbeat.HeartbeatHandler(leader=self.leader)
        self._sync = sync.SyncHandler(leader=self.leader)
        self._discovery = discovery.Discovery(
            directory=self.directory,
            client=self._client,
            clock=clock,
            replica=self.replica,
        )
        self._clock = clock
        self._stop_tickers = []

    @property
    def address(self):
        """The HOST:PORT that it listens on."""
        return self.server.address

    def start(self):
        """Load the data folder, start listening and join the quorum."""
        stored = self._member_store.load()
        self.replica.start()
        logged = [row.address for row in self.replica.status().members]
        self.directory.set_stored([*logged, *stored])
        self.server.start()
        self.workflows.start()
        self._stop_tickers = [
            ticker.Ticker.launch(
                name=name, func=func, interval=interval, clock=self._clock
            )
            for name, func, interval in (
                ('systems', self.leader.tick, TICK_INTERVAL),
                ('discovery', self._discovery.tick, discovery.INTERVAL),
                (
                    'member store',
                    self._member_store.tick,
                    member_store.INTERVAL,
                ),
            )
        ]

    def stop(self):
        """Transfer leadership, finish requests, sync the log and stop."""
        for stop in self._stop_tickers:
            stop()
        self.workflows.stop()
        self.replica.stop()
        self.server.stop()
        self._client.close()

    def _handle_applied(self, command):
        self.leader.record_applied(command)

    def _list_handlers(self):
        for_leader = {
            message.HeartbeatBatch: lambda m: self._heartbeats.handle_batch(m),
            message.Heartbeat: lambda m: self._heartbeats.handle(m),
            message.SyncRequest: lambda m: self._sync.handle(m),
            message.ClaimRequest: self._claim,
            message.CallRequest: self._call,
            message.WorkRequest: lambda m: self.workflows.handle(m),
        }
        return {
            **{
                kind: redirector.redirect(handle, self.directory)
                for kind, handle in for_leader.items()
            },
            message.ConsensusBatch: self._handle_consensus,
            message.MembersRequest: lambda m: self._discovery.handle(m),
        }

    def _handle_consensus(self, batch):
        replies = self.replica.handle(batch.messages, batch.sender)
        return message.ConsensusBatch(
            sender=self._settings.name, messages=replies
        )

    def _claim(self, request):
        self.leader.ensure_ready()
        return self.leader.claim(request)

    def _call(self, request):
        self.leader.ensure_ready()
        status, body = api.handle(
            self.leader,
            request.method,
            request.path,
            request.query,
            request.body,
            request.by,
            relayed=request,
        )
        return message.CallReply(status=status, body=body)

    def _serve_http(self, environ, body):
        path = environ['PATH_INFO']
        if path == '/healthz':
            return server.Response(body=b'{"ok": true}')
        if path == '/readyz':
            return self._report_ready()
        if path == '/metrics':
            return self._report_metrics()
        if not path.startswith(API_PREFIX):
            return server.build_error_response(
                errors.NotFoundError(f'unknown path {path}', step='dispatch')
            )
        request = message.CallRequest(
            method=environ['REQUEST_METHOD'],
            path=path,
            query=environ.get('QUERY_STRING', ''),
            body=body,
            by=server.read_author(environ),
        )
        request.note_received(server.read_sent_after(environ))
        return self._answer_call(request)

    def _answer_call(self, request):
        try:
            try:
                reply = self._call(request)
            except errors.NotLeaderError as error:
                reply = self._relay(request, error)
        except errors.BilberryhavenError as error:
            return server.build_error_response(error)
        return server.Response(status=reply.status, body=reply.body)

    def _relay(self, request, error):
        if not error.peer:
            raise error
        return self._client.send(
            error.peer,
            request.forward(request.sent_after, self._clock),
            timeout=RELAY_TIMEOUT,
            step='relay',
        )

    def _report_ready(self):
        status = self.replica.status()
        has_leader = bool(status.leader)
        body = {
            'ready': has_leader,
            'role': str(status.role),
            'leader': status.leader,
            'term': status.term,
        }
        return server.Response(
            status=200 if has_leader else 503, body=json.dumps(body).encode()
        )

    def _report_metrics(self):
        status = self.replica.status()
        registry = self.metrics
        registry.set('term', 'Current term.', status.term)
        registry.set('commit_index', 'Newest committed entry.', status.commit)
        registry.set(
            'leading',
            'Whether this instance leads.',
            int(status.leader == self._settings.name),
        )
        registry.set(
            'replica_failed',
            'Whether the replica takes no part in the quorum after a fault.',
            int(bool(status.fault)),
        )
        registry.set(
            'storage_faults',
            'Failed writes and syncs of the log since the start.',
            status.storage_faults,
        )
        registry.set(
            'recovery_attempts',
            'Attempts to take part again after a failed write or sync.',
            status.recovery_attempts,
        )
        state = self.leader.state
        registry.set('revision', 'Newest accepted change.', state.revision)
        registry.set(
            'withdrawn_zones',
            'Availability zones that operators have withdrawn.',
            sum(row.withdrawn for row in state.zones),
        )
        registry.set(
            'outdated_orders',
            'Orders on zones rejected since they may have been out of date.',
            self.workflows.zone_orders.outdated,
        )
        registry.set(
            'outdated_submissions',
            'Submissions rejected since they may have been out of date.',
            self.workflows.outdated_submissions,
        )
        for table in ('workloads', 'instances', 'jobs'):
            rows = len(getattr(state, table))
            registry.set('rows', 'Rows by table.', rows, table=table)
        body, headers = registry.render()
        return server.Response(body=body, content_type=headers['Content-Type'])


def run(settings, clock):
    """Run a control instance until a stop signal arrives."""
    return process.run_until_signal(
        ControlRole(settings=settings, clock=clock), settings
    )

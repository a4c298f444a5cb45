"""Discrete-event simulation of agents, network and callers.

The request cores of the entries are the real ones. All events run in virtual
time from one event queue.
"""

import collections
import datetime
import heapq
import random

from bilberryhaven import clock
from bilberryhaven.entry import effect
from bilberryhaven.entry import request
from bilberryhaven.entry import view
from bilberryhaven import errors
from bilberryhaven import policies
from bilberryhaven import util
from bilberryhaven.wire import message

ZONES = ('pingtung', 'tainan', 'kaohsiung')
INSTANCE_COUNT = 11
SLOTS_PER_AGENT = 8
QUEUE_SIZE = 16
MEAN_SERVICE_TIME_MS = 100.0
SERVICE_SIGMA = 0.5
SAME_ZONE_DELAY_MS = 0.5
CROSS_ZONE_DELAY_MS = 3.0
MEAN_JITTER_MS = 0.5
REPORT_INTERVAL_MS = 1000.0
CONNECT_TIMEOUT_MS = 500.0
DEADLINE_MS = 1000
CAPACITY_PER_SECOND = (
    INSTANCE_COUNT * SLOTS_PER_AGENT * 1000 / MEAN_SERVICE_TIME_MS
)
MS = datetime.timedelta(milliseconds=1)


class EventClock(clock.Clock):
    """Clock that returns the virtual time of the current event."""

    def __init__(self):
        self.now_ms = 0.0

    def monotonic(self):
        """Return the virtual time since the start."""
        return self.now_ms * MS

    def wall(self):
        """Return the Unix epoch; the simulation does not use wall time."""
        return datetime.datetime.fromtimestamp(0, datetime.timezone.utc)


class Agent:
    """Simulated agent with slots, a bounded queue and a service time.

    Args:
        cluster: The ``Cluster``.
        name: Instance name.
        zone: Its availability zone.
    """

    def __init__(self, *, cluster, name, zone):
        self._cluster = cluster
        self.name = name
        self.zone = zone
        self.busy_slots = 0
        self.queue = collections.deque()
        self.slowdown = 1.0
        self.failing = False
        self.down = False
        self.report = (0.0, message.Load(slots=SLOTS_PER_AGENT))
        self.mean_ms = MEAN_SERVICE_TIME_MS

    def build_load(self):
        """Return the current ``Load``."""
        return message.Load(
            slots=SLOTS_PER_AGENT,
            slots_used=self.busy_slots,
            queued=len(self.queue),
            service_ms=self.mean_ms,
        )

    def admit(self, dispatch, reply):
        """Run, queue or reject a dispatch.

        Args:
            dispatch: The ``Dispatch`` effect.
            reply: Function that is called with the ``AdmitReply``.
        """
        if self.down:
            return
        msg = dispatch.message
        if self.failing:
            self._cluster.call_later(
                1.0, self._send_reply, msg, reply, 'internal'
            )
            return
        estimated_wait_ms = (
            self.mean_ms * (len(self.queue) + 1) / SLOTS_PER_AGENT
        )
        if self.busy_slots < SLOTS_PER_AGENT:
            self._start_request(msg, reply)
        elif (
            len(self.queue) >= QUEUE_SIZE
            or estimated_wait_ms > msg.deadline_ms
        ):
            self._send_reply(msg, reply, 'overload')
        else:
            end = self._cluster.clock.now_ms + msg.deadline_ms
            self.queue.append((end, msg, reply))

    def revoke(self, request_id):
        """Remove a queued request; return ``not_run`` or ``started``."""
        for item in self.queue:
            if item[1].request_id == request_id:
                self.queue.remove(item)
                return 'not_run'
        return 'started'

    def _start_request(self, msg, reply):
        self.busy_slots += 1
        service_factor = self._cluster.random.lognormvariate(0, SERVICE_SIGMA)
        # 1.1331 is the mean of a log-normal distribution with sigma 0.5.
        service_time_ms = (
            MEAN_SERVICE_TIME_MS * self.slowdown * service_factor / 1.1331
        )
        self._cluster.call_later(
            service_time_ms, self._finish_request, msg, reply, service_time_ms
        )

    def _finish_request(self, msg, reply, service_time_ms):
        self.busy_slots -= 1
        self.mean_ms += 0.1 * (service_time_ms - self.mean_ms)
        while self.queue and self.busy_slots < SLOTS_PER_AGENT:
            end, waiting, response = self.queue.popleft()
            if end <= self._cluster.clock.now_ms:
                self._send_reply(waiting, response, 'deadline')
            else:
                self._start_request(waiting, response)
        self._send_reply(msg, reply, '')

    def _send_reply(self, msg, reply, code):
        if self.down:
            return
        body = b'' if code else msg.body
        outcome = 'not_run' if code in ('overload', 'deadline') else 'ran'
        reply(
            message.AdmitReply(
                request_id=msg.request_id,
                code=code,
                outcome=outcome if code else '',
                body=body,
                length=len(body),
                digest=util.compute_digest(body),
                load=self.build_load(),
            )
        )


class Entry:
    """Simulated entry: a real request core and its view.

    Args:
        cluster: The ``Cluster``.
        zone: Its availability zone.
        policy: Name of its routing policy.
        seed: Seed of its random numbers.
    """

    def __init__(self, *, cluster, zone, policy, seed):
        self._cluster = cluster
        self.zone = zone
        self.down = False
        source = random.Random(seed)
        self.view = view.View(
            zone=zone, delays=dict.fromkeys(ZONES, CROSS_ZONE_DELAY_MS)
        )
        self.core = request.RequestCore(
            name=f'entry-{zone}-{seed}',
            view=self.view,
            policy=policies.get_policy_by_name(policy)(random=source),
            clock=cluster.clock,
            random=source,
        )

    def execute(self, effects):
        """Execute the effects that the request core returned."""
        for item in effects:
            if isinstance(item, effect.Respond):
                self._cluster.respond(item.caller, item.response)
            elif isinstance(item, effect.Dispatch):
                self._cluster.dispatch(self, item)
            elif isinstance(item, effect.Revoke):
                self._cluster.revoke(self, item)


class Cluster:
    """Three availability zones with an entry in each, and their agents.

    Args:
        policy: Name of the routing policy.
        seed: Seed of all random numbers.
        report_delay_ms: Delivery delay of load reports.
    """

    def __init__(self, *, policy, seed, report_delay_ms=0.0):
        self.clock = EventClock()
        self.random = random.Random(seed)
        self._seed = seed
        self._policy = policy
        self._report_delay_ms = report_delay_ms
        self._events = []
        self._event_count = 0
        self._idle_connections = collections.Counter()
        self.agents = {}
        for number in range(INSTANCE_COUNT):
            name = f'pond-{number}'
            zone = ZONES[number % len(ZONES)]
            self.agents[name] = Agent(cluster=self, name=name, zone=zone)
        self.callers = {}
        self.dispatches = []
        self.entries = []
        self.start_entries()
        for name in self.agents:
            self.call_later(
                self.random.uniform(0, REPORT_INTERVAL_MS),
                self._heartbeat,
                name,
            )

    def start_entries(self):
        """Replace all entries; the old ones finish their open requests."""
        self._seed += 1000
        self.entries = [
            Entry(
                cluster=self, zone=zone, policy=self._policy, seed=self._seed
            )
            for zone in ZONES
        ]
        for entry in self.entries:
            self._sync(entry)

    def call_later(self, delay_ms, func, *args):
        """Call ``func`` after ``delay_ms`` of virtual time."""
        self._event_count += 1
        at = self.clock.now_ms + delay_ms
        heapq.heappush(self._events, (at, self._event_count, func, args))

    def run(self, until_ms):
        """Run all events due up to ``until_ms`` of virtual time."""
        while self._events and self._events[0][0] <= until_ms:
            at, _, func, args = heapq.heappop(self._events)
            self.clock.now_ms = at
            func(*args)

    def generate(self, rate, until_ms):
        """Submit a request to a random entry and schedule the next one.

        Intervals between requests are exponentially distributed.

        Args:
            rate: Mean requests per second over all entries.
            until_ms: Virtual time at which arrivals end.
        """
        number = len(self.callers)
        entry = self.random.choice([e for e in self.entries if not e.down])
        item = effect.Request(
            id=f'r{number}',
            workload='price',
            body=b'1',
            timeout=DEADLINE_MS * MS,
            idempotent=number % 2 == 0,
        )
        caller = {
            'submitted_ms': self.clock.now_ms,
            'sent': [],
            'entry': entry,
        }
        self.callers[number] = caller
        entry.execute(entry.core.submit(number, item))
        delay = self.random.expovariate(rate / 1000)
        if self.clock.now_ms + delay < until_ms:
            self.call_later(delay, self.generate, rate, until_ms)

    def respond(self, number, response):
        """Record the latency and outcome of a caller's request."""
        caller = self.callers[number]
        caller['latency_ms'] = self.clock.now_ms - caller['submitted_ms']
        caller['ok'] = response.error is None

    def dispatch(self, entry, item):
        """Deliver a dispatch to its agent and the reply to the entry."""
        agent = self.agents[item.target.name]
        number = int(item.request_id[1:])
        self.callers[number]['sent'].append(agent.name)
        self.dispatches.append((self.clock.now_ms, agent.name))
        key = (id(entry), agent.name)
        self._idle_connections[key] = max(
            self._idle_connections[key], item.target.in_flight
        )
        timeout_ms = item.timeout / MS
        if agent.down and self._idle_connections[key] <= 0:
            delay = min(CONNECT_TIMEOUT_MS, timeout_ms)
            self.call_later(delay, self._deliver_error, entry, item, 'not_run')
            return
        self._idle_connections[key] -= agent.down
        self.call_later(
            timeout_ms, self._deliver_error, entry, item, 'unknown'
        )
        reply_delay = self._sample_delay(entry, agent)

        def reply(response):
            self.call_later(
                reply_delay, self._deliver_reply, entry, item, response
            )

        self.call_later(
            self._sample_delay(entry, agent), agent.admit, item, reply
        )

    def revoke(self, entry, item):
        """Deliver a revocation to its agent and the result to the entry."""
        agent = self.agents[item.dispatch.target.name]
        delay = self._sample_delay(entry, agent)
        if agent.down:
            timeout_ms = item.timeout / MS
            self.call_later(
                timeout_ms, self._deliver_revocation, entry, item, ''
            )
        else:
            self.call_later(delay, self._revoke, entry, item, agent, delay)

    def fail_zone(self, zone):
        """Take down the agents and the entry of a zone."""
        for agent in self.agents.values():
            agent.down = agent.down or agent.zone == zone
        for entry in self.entries:
            entry.down = entry.down or entry.zone == zone
        for caller in self.callers.values():
            caller['entry_down'] = (
                caller['entry'].down and 'latency_ms' not in caller
            )

    def restore_zone(self, zone):
        """Restore a zone; its agents have empty slots and queues."""
        for agent in self.agents.values():
            if agent.zone == zone:
                agent.down = False
                agent.busy_slots = 0
                agent.queue.clear()
        for entry in self.entries:
            entry.down = entry.down and entry.zone != zone

    def _revoke(self, entry, item, agent, delay):
        state = agent.revoke(item.request_id)
        self.call_later(delay, self._deliver_revocation, entry, item, state)

    def _deliver_revocation(self, entry, item, state):
        if item.awaited and not entry.down:
            entry.execute(entry.core.handle_revoked(item, state))

    def _deliver_reply(self, entry, item, response):
        if not entry.down:
            entry.execute(entry.core.handle_reply(item, response))

    def _deliver_error(self, entry, item, outcome):
        if entry.down or item.settled:
            return
        error = errors.PeerError('no reply', step='dispatch', outcome=outcome)
        entry.execute(entry.core.handle_dispatch_error(item, error))

    def _sample_delay(self, entry, agent):
        base = (
            SAME_ZONE_DELAY_MS
            if entry.zone == agent.zone
            else CROSS_ZONE_DELAY_MS
        )
        return base + self.random.expovariate(1 / MEAN_JITTER_MS)

    def _heartbeat(self, name):
        agent = self.agents[name]
        if not agent.down:
            agent.report = (self.clock.now_ms, agent.build_load())
        self.call_later(REPORT_INTERVAL_MS, self._heartbeat, name)

    def _sync(self, entry):
        if entry not in self.entries:
            return
        now = self.clock.now_ms
        self.call_later(REPORT_INTERVAL_MS, self._sync, entry)
        if entry.down:
            return
        rows = [
            self._build_instance_view(agent, now)
            for agent in self.agents.values()
        ]
        reply = message.SyncReply(
            revision=1,
            lease_ms=4000,
            feed='f',
            cursor=1,
            workloads=[message.WorkloadView(name='price', kind='service')],
            instances=rows,
        )
        # The view is applied after the report delay, which is added to the
        # age of each load.
        self.call_later(
            self._report_delay_ms, self._apply_sync, entry, reply, now
        )

    def _apply_sync(self, entry, reply, sent_ms):
        for row in reply.instances:
            row.load_age_ms += int(self.clock.now_ms - sent_ms)
        now = self.clock.monotonic()
        entry.view.apply(reply, sent_at=now, now=now)

    def _build_instance_view(self, agent, now):
        at, load = agent.report
        age = now - at
        return message.InstanceView(
            name=agent.name,
            zone=agent.zone,
            address=f'{agent.name}:1',
            capacity=message.Capacity(slots=SLOTS_PER_AGENT),
            connected=age < 4 * REPORT_INTERVAL_MS + 500,
            load=load,
            load_age_ms=int(age),
        )

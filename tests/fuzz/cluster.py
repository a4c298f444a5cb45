"""Simulated cluster with virtual clocks, and disk and network faults."""

import datetime
import heapq
import random

from bilberryhaven import clock
from bilberryhaven import commands
from bilberryhaven.consensus import driver
from bilberryhaven.consensus import machine
from bilberryhaven.consensus import memory
from bilberryhaven.consensus import message
from bilberryhaven.consensus import options
from bilberryhaven.consensus import storage
from bilberryhaven import errors
from bilberryhaven import tables

STEP = clock.seconds(0.025)
MESSAGE_DELAY_STEPS = 0.4
OPTIONS = options.Options(
    snapshot_entries=40,
    kept_entries=10,
    max_kept_entries=200,
    segment_bytes=4096,
    append_bytes=1024,
    chunk_bytes=4096,
    append_window=2,
)


class TableMachine(machine.StateMachine):
    """The real tables; asserts that replicas apply the same entries."""

    def __init__(self, *, applied):
        self.state = tables.State()
        self._applied = applied

    def apply(self, index, data):
        known = self._applied.setdefault(index, data)
        assert known == data, f'entry {index} differs between replicas'
        return commands.apply(self.state, commands.decode(data))

    def dump(self):
        return self.state.dump()

    def load(self, data):
        self.state.load(data)


class Node:
    """Disk and clock of one replica and, while it is up, its driver."""

    def __init__(self, *, name, voters, clock_rate=1.0):
        self.name = name
        self.voters = voters
        self.clock_rate = clock_rate
        self.folder = memory.MemoryFolder()
        self.driver = None
        self.machine = None
        self.paused = False

    @property
    def is_up(self):
        return self.driver is not None

    @property
    def is_leading(self):
        return self.is_up and self.driver.core.is_leader


class Cluster:
    def __init__(
        self,
        *,
        names='abc',
        seed=0,
        clock_rates=(1.0,),
        options=OPTIONS,
        step=STEP,
    ):
        self.options = options
        self.step = step
        self.random = random.Random(seed)
        self.now = clock.seconds(100)
        self.loss = 0.0
        self.repeat = 0.0
        self.jitter = datetime.timedelta()
        self.blocked = set()
        self.delays = {}
        self.applied = {}
        self.voters = {name: f'{name}:1' for name in names}
        self.nodes = {}
        self._queue = []
        self._count = 0
        for position, name in enumerate(names):
            clock_rate = clock_rates[position % len(clock_rates)]
            self.add_node(name, voters=self.voters, clock_rate=clock_rate)

    def add_node(self, name, *, voters=None, clock_rate=1.0):
        node = Node(
            name=name, voters=dict(voters or {}), clock_rate=clock_rate
        )
        self.nodes[name] = node
        self.start(name)
        return node

    def local_time(self, node):
        return self.now * node.clock_rate

    def start(self, name):
        node = self.nodes[name]
        node.machine = TableMachine(applied=self.applied)
        started = driver.Driver(
            name=name,
            storage=storage.Storage(folder=node.folder, options=self.options),
            machine=node.machine,
            options=self.options,
            random=self.random,
            send=lambda to, data: self._send(name, to, data),
        )
        node.paused = False
        node.driver = started
        self._run(node, started.start, node.voters, self.local_time(node))

    def crash(self, name):
        node = self.nodes[name]
        node.driver = None
        node.paused = False
        node.folder.crash(self.random)

    def wipe(self, name):
        """Crash a node and restart it under its name with an empty disk."""
        self.crash(name)
        self.nodes[name].folder = memory.MemoryFolder()
        self.start(name)

    def _run(self, node, function, *args):
        try:
            function(*args)
        except memory.PowerLossError:
            self.crash(node.name)

    def _send(self, sender, to, data):
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.repeat else 1
        for _ in range(copies):
            delay = (
                self.step * MESSAGE_DELAY_STEPS
                + self.jitter * self.random.random()
            )
            for name in (sender, to):
                delay += self.delays.get(name, datetime.timedelta())
            self._count += 1
            item = (self.now + delay, self._count, sender, to, data)
            heapq.heappush(self._queue, item)

    def flush(self, node):
        if node.is_up:
            self._run(node, node.driver.flush, self.local_time(node))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.now:
            _, _, sender, to, data = heapq.heappop(self._queue)
            node = self.nodes.get(to)
            if (sender, to) in self.blocked or node is None or not node.is_up:
                continue
            if node.paused:
                item = (self.now + self.step, self._count, sender, to, data)
                self._count += 1
                heapq.heappush(self._queue, item)
                continue
            msg = message.decode(data)
            self._run(node, node.driver.step, msg, self.local_time(node))
            self.flush(node)

    def run(self, seconds, check=None):
        end = self.now + clock.seconds(seconds)
        while self.now < end:
            self.now += self.step
            self._deliver()
            for node in list(self.nodes.values()):
                if node.is_up and not node.paused:
                    self._run(node, node.driver.tick, self.local_time(node))
                    self.flush(node)
            if check is not None:
                check()

    def propose(self, node, command, callback):
        items = [(commands.encode(command), callback)]
        self._run(node, node.driver.propose, items, self.local_time(node))
        self.flush(node)

    def commit(self, command, seconds=3):
        """Propose at the leader and return the result."""
        results = []
        node = self.find_leader()
        self.propose(node, command, results.append)
        end = self.now + clock.seconds(seconds)
        while not results and self.now < end:
            self.run(0.05)
        return results[0] if results else None

    def call_driver(self, node, function, **arguments):
        """Call a driver method that takes the time and a callback."""
        results = []
        self._run(
            node,
            lambda: getattr(node.driver, function)(
                self.local_time(node), results.append, **arguments
            ),
        )
        self.flush(node)
        return results

    def transfer(self, node, to=None):
        try:
            node.driver.core.transfer_leadership(self.local_time(node), to)
        except errors.BilberryhavenError:
            return
        self.flush(node)

    def can_read(self, node):
        """Return whether the node would serve a linearizable read now."""
        if not node.is_leading or node.paused:
            return False
        core = node.driver.core
        if node.driver.applied < core.noop_index:
            return False
        now = self.local_time(node)
        return now < core.find_lease_end(now)

    def find_leader(self, seconds=20):
        """Run until a node can serve reads and return it."""
        for _ in range(int(seconds / 0.1)):
            for node in self.nodes.values():
                if (
                    self.can_read(node)
                    and not node.driver.core.leadership_transfer
                ):
                    return node
            self.run(0.1)
        raise AssertionError('no leader was elected')

    def wait_until_applied(self, node, seconds=30):
        """Run until all voters have applied the entries ``node`` has."""
        target = node.driver.applied
        voters = node.driver.core.members.voters
        for _ in range(int(seconds / 0.1)):
            if all(self.nodes[n].driver.applied >= target for n in voters):
                return
            self.run(0.1)
        raise AssertionError('not all voters caught up')

    def partition(self, names):
        """Block the links between ``names`` and all others both ways."""
        for one in self.nodes:
            for other in self.nodes:
                if (one in names) != (other in names):
                    self.blocked.add((one, other))

    def heal(self):
        self.blocked = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.jitter = datetime.timedelta()
        for name, node in self.nodes.items():
            node.paused = False
            node.folder.operations_until_power_loss = None
            node.folder.fail_sync = False
            node.folder.fault = None
            if not node.is_up:
                self.start(name)

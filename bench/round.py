"""Processor time of one scheduling round over a fleet with running tasks."""

import time

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import tables
from bilberryhaven.tables import backend
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import fleet
from bilberryhaven.workflow import health
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import session
from bilberryhaven.workflow import workflow_index

SERVERS = (56, 160, 480)
RUNS_PER_SERVER = 5
TASKS = 39
# Servers whose runs or reports change between two rounds of a busy leader.
CHANGED_SHARE = 0.1
REPEATS = 7
POOL = 'p'


class Fleet:
    """Tables and sessions of servers that all run tasks.

    Args:
        servers: Number of servers.
    """

    def __init__(self, servers):
        self.state = tables.State()
        self.index = workflow_index.WorkflowIndex(self.state)
        self.sessions = session.SessionTable()
        self.now = clocks.seconds(100)
        self.view = fleet.FleetView(
            state=self.state,
            index=self.index,
            sessions=self.sessions,
            health=health.HealthTable(),
            options=options.Options(),
        )
        for number in range(servers):
            self._open(f's{number}', number)
        for number in range(RUNS_PER_SERVER):
            self._start(f'w{number}', servers)
        self._submit('next', TASKS)
        self.index.refresh(0)
        self.report(1.0)

    def _apply(self, command):
        return commands.apply(self.state, command)

    def _open(self, key, number):
        row = backend.Backend(
            key=key,
            id=key,
            instance=key,
            pool=POOL,
            rack=f'r{number // 16}',
            cpu=64_000,
            memory_mb=256_000,
        )
        self._apply(backend_commands.OpenBackend(backend=row, at=0))
        lease_end = self.now + options.Options().lease_expiry_delay
        self.sessions.put(
            session.Session(key=key, epoch=1, lease_end=lease_end)
        )

    def _submit(self, name, tasks):
        step = workflow.Step(
            tasks=tasks, cpu=7000, memory_mb=9000, best_effort=True
        )
        row = workflow.Workflow(
            id=name, queue='q', pool=POOL, spec='', steps=[step]
        )
        self._apply(workflow_commands.SubmitWorkflow(workflow=row))

    def _start(self, name, servers):
        self._submit(name, servers)
        starts = [
            workflow_commands.RunStart(name, f'0.0.{number}', 1, f's{number}')
            for number in range(servers)
        ]
        self._apply(workflow_commands.StartRuns(starts=starts, at=0))

    def report(self, share):
        """Record new listings of a share of the servers."""
        rows = list(self.sessions)
        for item in rows[: int(share * len(rows))]:
            refs = self.index.runs.get(item.key, {})
            running = [message.Running(ref, gauge=7000) for ref in refs]
            item.record_presence(running, self.now)

    def run_round(self):
        """Return the processor time of one round in ms."""
        start = time.process_time()
        servers = self.view.list_servers(self.now)
        planner.plan_starts(self.index.list_groups(0), servers, 0)
        return (time.process_time() - start) * 1e3


def measure():
    """Return the processor time of a first and of a later round in ms."""
    figures = {}
    for count in SERVERS:
        world = Fleet(count)
        figures[f'round.first_ms_{count}'] = round(world.run_round(), 2)
        later = []
        for _ in range(REPEATS):
            world.now += clocks.seconds(0.05)
            world.report(CHANGED_SHARE)
            later.append(world.run_round())
        figures[f'round.later_ms_{count}'] = round(min(later), 2)
    return figures

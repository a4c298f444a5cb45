"""Builders of workflows, servers and commands for tests."""

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import tables
from bilberryhaven.tables import backend
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import workflow_index

POOL = 'desk'
CORES = 64


def build_step(**fields):
    fields.setdefault('tasks', 1)
    fields.setdefault('cpu', 1000)
    fields.setdefault('memory_mb', 1000)
    return workflow.Step(**fields)


def build_workflow(name, *steps, **fields):
    fields.setdefault('queue', 'surveys')
    fields.setdefault('max_attempts', 2)
    return workflow.Workflow(
        id=name, pool=POOL, spec='spec', steps=list(steps), **fields
    )


def build_server(key='a', **fields):
    fields.setdefault('pool', POOL)
    fields.setdefault('cpu', CORES * 1000)
    fields.setdefault('memory_mb', 256_000)
    return candidate.Server(key=key, **fields)


def build_agent(gateway, client, **fields):
    """Return an agent to which a server with ``fields`` was announced."""
    built = agent.WorkflowAgent(
        name='a',
        gateway=gateway,
        client=client,
        clock=clocks.SystemClock(),
        options=options.Options(),
    )
    built.handle_announcement(
        server_client.Announcement(
            state=message.ServerState(id='s', born_ms=1, pool='p', **fields),
            address='127.0.0.1:1',
            sequence=1,
        )
    )
    return built


class World:
    """Tables, changed by the commands that a leader would commit."""

    def __init__(self, *servers):
        self.state = tables.State()
        self.workflow_index = workflow_index.WorkflowIndex(self.state)
        for key in servers:
            self.open(key)

    def apply(self, command):
        # Committed commands have been encoded and decoded.
        command = commands.decode(commands.encode(command))
        return commands.apply(self.state, command)

    def open(self, key, zone=''):
        row = backend.Backend(
            key=key,
            id=key,
            instance=f'on-{key}',
            pool=POOL,
            zone=zone,
            cpu=CORES * 1000,
            memory_mb=256_000,
        )
        return self.apply(backend_commands.OpenBackend(backend=row, at=0))

    def close(self, key):
        self.apply(backend_commands.CloseBackend(key=key, at=1, reason='test'))

    def submit(self, row):
        return self.apply(workflow_commands.SubmitWorkflow(workflow=row))

    def start(self, name, task, number, server):
        start = workflow_commands.RunStart(name, task, number, server)
        return self.apply(workflow_commands.StartRuns(starts=[start], at=2))

    def end(self, server, number, name, task, run, how, checkpoint=''):
        ref = workflow_commands.RunRef(name, task, run)
        end = workflow_commands.RunEnd(number, ref, how, checkpoint)
        return self.apply(
            workflow_commands.RecordEnds(
                backend=server, ends=[end], upto=number, at=3
            )
        )

    def find(self, name):
        return self.state.workflows.find(name)

    def list_ready(self, now=10.0):
        self.workflow_index.refresh(now)
        return {
            (group.row.id, key)
            for group in self.workflow_index.list_groups(now)
            for key in group.keys
        }

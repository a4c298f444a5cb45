"""State after a restart from a snapshot, from the log, and from both.

A backend server that had left, or a queue that had been withdrawn, must not
be in use again, wherever the snapshot was taken.
"""

import testtools

from bilberryhaven import commands
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import catalog as catalog_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.control import machine
from bilberryhaven.tables import backend
from bilberryhaven.tables import catalog
from tests import workflow_fakes as fakes


def build_catalog(version, *queues):
    rows = [
        catalog.Queue(
            name=name, host='h', prefix=f'/{name}/', pool='p', timeout_ms=1
        )
        for name in queues
    ]
    return catalog_commands.ReplaceCatalog(
        catalog=catalog.Catalog(
            version=version,
            queues=rows,
            pools=[catalog.Pool(name='p')],
            document=b'v%d' % version,
        )
    )


def open_backend(key):
    row = backend.Backend(key=key, id=key, instance='i', pool='p')
    return backend_commands.OpenBackend(backend=row, at=0)


def start(key):
    return workflow_commands.StartRuns(
        starts=[workflow_commands.RunStart('w', '0.0.0', 1, key)], at=2
    )


REF = workflow_commands.RunRef('w', '0.0.0', 1)
HISTORY = (
    build_catalog(3, 'kept', 'withdrawn'),
    open_backend('left'),
    workflow_commands.SubmitWorkflow(
        workflow=fakes.build_workflow('w', fakes.build_step())
    ),
    start('left'),
    workflow_commands.SaveCheckpoints(
        checkpoints=[workflow_commands.RunCheckpoint(REF, 'c1')]
    ),
    build_catalog(5, 'kept'),
    backend_commands.CloseBackend(key='left', at=3, reason='left', epoch=1),
    open_backend('present'),
    # Arrive late and must change nothing.
    build_catalog(4, 'kept', 'withdrawn'),
    backend_commands.CloseBackend(key='present', at=4, reason='old', epoch=1),
    start('left'),
)


class RecoveryTest(testtools.TestCase):
    def restart(self, snapshot_at):
        """Apply the history, with a restart from a snapshot within it."""
        encoded = [commands.encode(command) for command in HISTORY]
        before = machine.TableStateMachine()
        for index, data in enumerate(encoded[:snapshot_at]):
            before.apply(index, data)
        after = machine.TableStateMachine()
        if snapshot_at:
            after.load(before.dump())
        for index, data in enumerate(encoded[snapshot_at:]):
            after.apply(index, data)
        return after

    def test_what_was_withdrawn_stays_so(self):
        expected = self.restart(0).dump()
        for snapshot_at in range(len(HISTORY) + 1):
            recovered = self.restart(snapshot_at)
            state = recovered.state
            self.assertEqual(expected, recovered.dump(), snapshot_at)
            self.assertNotIn('left', state.backends)
            self.assertIn('present', state.backends)
            current = state.catalogs.find_current()
            self.assertEqual(5, current.version)
            self.assertEqual(['kept'], [row.name for row in current.queues])
            task = state.workflows.find('w').find_task('0.0.0')
            self.assertEqual(('c1', []), (task.checkpoint, task.runs))

"""Accepted workflows have the parameters that their queue has in force."""

import testtools

from bilberryhaven.commands import catalog as catalog_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import catalog
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import message
from bilberryhaven.workflow import relocation
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

HOST = test_workflow_dispatcher.HOST
PREFIX = test_workflow_dispatcher.PREFIX
OLD, NEW = fakes.POOL, 'lake'


def build_queue(pool=OLD, *, name='surveys', prefix=PREFIX, **fields):
    fields.setdefault('max_attempts', 2)
    return catalog.Queue(
        name=name, host=HOST, prefix=prefix, pool=pool, timeout_ms=1, **fields
    )


def build_catalog(version, *queues):
    return catalog.Catalog(
        version=version,
        queues=list(queues),
        pools=[catalog.Pool(name=pool) for pool in (OLD, NEW)],
        document=b'',
    )


class QueueTest(test_workflow_dispatcher.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.version = 0
        self.put(build_queue())

    def put(self, *queues, version=None):
        self.version += 1
        row = build_catalog(version or self.version, *queues)
        self.ask(
            message.Replace(
                version=row.version,
                queues=row.queues,
                pools=row.pools,
                document=row.document,
            )
        )

    def open(self, agent, pool, **fields):
        server = message.ServerState(
            id=f's-{agent}',
            born_ms=1,
            pool=pool,
            cpu=fields.pop('cpu', 64_000),
            memory_mb=256_000,
        )
        return self.ask(message.Poll(agent=agent, server=server, **fields))

    def find(self, name='w'):
        return self.state.workflows.find(name)

    def list_pools(self, name='w'):
        self.schedule()
        return [
            self.state.backends.find(run.backend).pool
            for _, run in self.find(name).list_runs()
        ]

    def end(self, poll, number, how='stopped', task='0.0.0', run=1):
        ref = workflow_commands.RunRef('w', task, run)
        self.report(poll, workflow_commands.RunEnd(number, ref, how))

    def test_waiting_workflow_follows_its_queue_to_another_pool(self):
        # It waited for servers of the former pool for good.
        self.open('new', NEW)
        self.submit('w')
        self.assertEqual([], self.list_pools())
        self.put(build_queue(NEW))
        self.assertEqual([NEW], self.list_pools())

    def test_run_at_work_is_left_and_restarts_in_the_new_pool(self):
        for name, fields in (('w', {}), ('x', {'long_running': True})):
            self.submit(name, fakes.build_step(**fields))
        old = self.open('old', OLD)
        self.open('new', NEW)
        self.assertEqual([OLD], self.list_pools())
        self.put(build_queue(NEW))
        for name in ('w', 'x'):
            self.assertEqual([OLD], self.list_pools(name))
            ref = workflow_commands.RunRef(name, '0.0.0', 1)
            number = self.state.backends.find(old.key).acked + 1
            self.report(old, workflow_commands.RunEnd(number, ref, 'lapsed'))
            self.assertEqual([NEW], self.list_pools(name))

    def test_gang_of_which_some_members_have_ended(self):
        self.submit('w', fakes.build_step(tasks=2, gang=True))
        old = self.open('old', OLD)
        self.open('new', NEW)
        self.assertEqual([OLD, OLD], self.list_pools())
        self.end(old, 1, 'broken')
        self.put(build_queue(NEW))
        self.assertEqual([OLD], self.list_pools())
        self.end(old, 2, 'broken', task='0.0.1')
        self.assertEqual([NEW, NEW], self.list_pools())
        numbers = {run.number for _, run in self.find().list_runs()}
        self.assertEqual({2}, numbers)

    def test_gang_planned_before_the_change_is_started_whole(self):
        self.submit('w', fakes.build_step(tasks=2, gang=True))
        self.open('old', OLD)
        propose = self.replica.propose

        def replace_first(data, **fields):
            self.replica.propose = propose
            self.put(build_queue(NEW))
            return propose(data, **fields)

        self.replica.propose = replace_first
        self.assertEqual([OLD, OLD], self.list_pools())

    def test_queue_that_is_dropped_and_added_again(self):
        self.submit('w')
        self.put()
        self.assertEqual(OLD, self.find().pool)
        self.open('old', OLD)
        self.assertEqual([OLD], self.list_pools())
        self.put(build_queue(NEW))
        self.assertEqual(NEW, self.find().pool)

    def test_version_that_is_not_higher_changes_nothing(self):
        self.submit('w')
        self.put(build_queue(NEW), version=1)
        self.assertEqual(OLD, self.find().pool)

    def test_priority_and_deadline_are_those_in_force(self):
        self.submit('w')
        values = {'priority': 3, 'slack_factor': 4.5, 'latency_ms': 700}
        self.put(build_queue(**values))
        found = {field: getattr(self.find(), field) for field in values}
        self.assertEqual(values, found)
        self.open('old', OLD)
        self.schedule()

    def test_attempts_are_those_of_the_submission(self):
        # A lower number would fail the workflow without a failed run.
        self.submit('w')
        old = self.open('old', OLD)
        self.schedule()
        self.put(build_queue(max_attempts=1))
        self.end(old, 1, 'failed')
        self.assertEqual('active', str(self.find().state))

    def test_queue_is_found_by_name_or_address(self):
        moved = build_queue(NEW, prefix='/elsewhere/')
        renamed = build_queue(NEW, name='renamed')
        other = build_queue(OLD, name='other', prefix='/other/')
        namesake = build_queue(OLD, prefix='/other/')
        for number, (queues, pool) in enumerate(
            (
                ([moved], NEW),
                ([renamed], NEW),
                ([other], OLD),
                ([namesake, build_queue(NEW)], NEW),
                ([build_queue(NEW), namesake], NEW),
                ([moved, build_queue(OLD, name='taken')], NEW),
            )
        ):
            self.put(build_queue())
            self.submit(f'w{number}')
            self.put(*queues)
            self.assertEqual(pool, self.find(f'w{number}').pool, number)

    def test_submission_checked_before_the_change(self):
        propose = self.replica.propose

        def replace_first(data, **fields):
            self.replica.propose = propose
            self.put(build_queue(NEW))
            return propose(data, **fields)

        self.replica.propose = replace_first
        self.submit('w')
        self.assertEqual(NEW, self.find().pool)

    def test_next_leader_and_snapshot_know_the_pool(self):
        self.submit('w')
        self.put(build_queue(NEW))
        self.machine.load(self.machine.dump())
        self.replica.term += 1
        self.leader = self.build_leader()
        self.open('new', NEW)
        self.assertEqual([NEW], self.list_pools())

    def test_ended_workflow_stays_as_it_is(self):
        self.submit('w')
        self.ask(message.Cancel(host=HOST, path=f'{PREFIX}w'))
        self.put(build_queue(NEW))
        self.assertEqual(OLD, self.find().pool)


class CommandTest(testtools.TestCase):
    def test_entry_of_an_earlier_version_follows_the_catalog(self):
        world = fakes.World()
        world.apply(
            catalog_commands.ReplaceCatalog(
                catalog=build_catalog(1, build_queue(NEW))
            )
        )
        row = fakes.build_workflow('w', fakes.build_step())
        world.submit(row)
        self.assertEqual(NEW, world.find('w').pool)


class RelocationTest(testtools.TestCase):
    def test_relocation_looks_at_servers_of_the_pool_in_force(self):
        # The run's own server belongs to the former pool.
        world = fakes.World('a')
        step = fakes.build_step(
            best_effort=True, image='i', saves_progress=True
        )
        world.submit(fakes.build_workflow('w', step))
        world.start('w', '0.0.0', 1, 'a')
        world.find('w').pool = NEW
        world.workflow_index.refresh(10.0)
        views = world.workflow_index.runs['a']
        for pool, count in ((OLD, 0), (NEW, 1)):
            found = relocation.list_relocations(
                views,
                list(views),
                {},
                fakes.build_server('a'),
                [fakes.build_server('b', pool=pool)],
                candidate.InterferenceEffects(),
            )
            self.assertEqual(count, len(found), pool)

"""Shares of callers as the leader applies them.

Guards against the surge of one availability zone: the room is divided by the
zone of the entry that took a workflow, and operators see by whom work waits.
"""

import logbook
import msgspec
import testtools

from bilberryhaven import clock as clocks
from bilberryhaven import commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.overload import precedence
from bilberryhaven.overload import shares
from bilberryhaven.workflow import caller_shares
from bilberryhaven.workflow import options
from bilberryhaven.workflow import run_times
from bilberryhaven.workflow import urgency
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

RUN_S = 4.0
RATES = {(fakes.POOL, False): 10_000 / precedence.ROOM_SHARE}


class CallerSharesTest(testtools.TestCase):
    """Twenty tasks can be in time."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        self.build()

    def build(self, **fields):
        times = run_times.RunTimes()
        times.record('surveys', RUN_S)
        self.world = fakes.World('a')
        self.shares = caller_shares.CallerShares(
            clock=self.clock,
            options=options.Options(**{'shares': True, **fields}),
        )
        self.index = workflow_index.WorkflowIndex(
            self.world.state,
            ranker=urgency.ValueRanker(times=times, shares=self.shares),
        )

    def submit(self, zone, count, **fields):
        for number in range(count):
            row = fakes.build_workflow(
                f'{zone}{number}',
                fakes.build_step(cpu=1000, **fields),
                latency_ms=7700,
                zone=zone,
            )
            self.world.submit(row)

    def count_chosen(self):
        self.index.refresh(0.0)
        groups = self.index.list_groups(0.0, RATES)
        chosen = [group.row.zone for group in groups if group.rank < 0]
        return {zone: chosen.count(zone) for zone in sorted(set(chosen))}

    def list_logs(self, text):
        return [
            record.extra
            for record in self.logs.records
            if text in (record.msg, record.extra.get('decision'))
        ]

    def test_zones_share_the_room(self):
        self.submit('a', 40)
        self.submit('b', 40)
        self.assertEqual({'a': 10, 'b': 10}, self.count_chosen())

    def test_nothing_changes_without_the_setting_or_zones(self):
        self.build(shares=False)
        self.submit('a', 40)
        self.submit('b', 40)
        self.assertEqual({'a': 20}, self.count_chosen())
        self.build()
        self.submit('', 40)
        self.submit('b', 40)
        self.assertEqual(20, sum(self.count_chosen().values()))
        self.assertEqual([], self.logs.records)

    def test_weights_are_taken_from_the_options(self):
        self.build(zone_weights={'a': 3.0})
        self.submit('a', 40)
        self.submit('b', 40)
        self.assertEqual({'a': 15, 'b': 5}, self.count_chosen())

    def test_memory_counts_once_the_pool_is_known(self):
        self.submit('a', 40)
        self.submit('b', 40, memory_mb=2000)
        self.assertEqual({'a': 10, 'b': 10}, self.count_chosen())
        self.shares.observe(
            [fakes.build_server(memory_mb=13_500), fakes.build_server('b')]
        )
        self.shares.observe([fakes.build_server(memory_mb=13_500)])
        self.assertEqual({'a': 15, 'b': 5}, self.count_chosen())

    def test_each_delay_is_logged_once(self):
        self.submit('a', 40)
        self.submit('b', 2)
        self.count_chosen()
        self.count_chosen()
        lines = self.list_logs('delay workflow')
        self.assertEqual(22, len(lines))
        self.assertEqual('a', lines[0]['zone'])
        self.assertEqual(['a', 'b'], lines[0]['behind'])
        self.assertEqual(shares.SHARE_USED_UP, lines[0]['reason'])

    def test_shares_are_logged_periodically(self):
        self.submit('a', 40)
        self.submit('b', 2)
        self.count_chosen()
        ref = workflow_commands.RunRef('a0', '0.0.0', 1)
        self.world.start('a0', '0.0.0', 1, 'a')
        self.index.refresh(0.0)
        end = workflow_commands.RunEnd(1, ref, workflow_commands.DONE)
        self.shares.record_ends(self.index.runs['a'], [end], 5.0)
        self.count_chosen()
        self.clock.advance(caller_shares.LOG_INTERVAL)
        self.count_chosen()
        first, second = self.list_logs('shares of callers')
        self.assertEqual(fakes.POOL, first['pool'])
        surging = first['zones']['a']
        self.assertEqual(
            (0.5, 18, 22, 0.0),
            (
                surging['entitled'],
                surging['chosen'],
                surging['delayed'],
                surging['served_cpu_s'],
            ),
        )
        self.assertEqual(3.0, second['zones']['a']['served_cpu_s'])

    def test_zone_of_workflows_in_old_logs_is_unknown(self):
        row = fakes.build_workflow('w', fakes.build_step(), zone='a')
        command = workflow_commands.SubmitWorkflow(workflow=row)
        fields = msgspec.msgpack.decode(commands.encode(command))
        del fields['workflow']['zone']
        old = commands.decode(msgspec.msgpack.encode(fields))
        self.assertEqual('', old.workflow.zone)

    def test_credits_are_forgotten_in_a_new_term(self):
        self.submit('a', 40)
        self.submit('b', 2)
        self.count_chosen()
        self.shares.begin_term()
        self.count_chosen()
        self.assertEqual(2, len(self.list_logs('shares of callers')))

"""Log lines of replicas whose disk is lost, or that are elected."""

from tests import log_lines
from tests import test_consensus


class DiskLinesTest(test_consensus.ClusterTestCase):
    """An end that was acknowledged is forgotten only with the log."""

    def setUp(self):
        super().setUp()
        self.lines = log_lines.LogLines(self)
        self.build()
        self.commit_change()

    def list_last(self, decision, name):
        rows = self.lines.list(decision)
        return [row for row in rows if row['replica'] == name][-1]

    def pick_follower(self):
        return next(n for n in 'abc' if n != self.leader.name)

    def restart(self, name):
        self.cluster.crash(name)
        self.cluster.start(name)

    def test_replica_that_kept_its_disk(self):
        name = self.pick_follower()
        self.cluster.wait_until_applied(self.leader)
        self.restart(name)
        line = self.list_last('recover log', name)
        self.assertEqual('found in the folder', line['reason'])
        core = self.cluster.nodes[name].driver.core
        self.assertEqual(
            (core.term, core.log.last_index, True),
            (line['term'], line['last_index'], line['joined']),
        )

    def test_replica_that_lost_its_disk(self):
        name = self.pick_follower()
        self.cluster.wipe(name)
        line = self.list_last('recover log', name)
        self.assertEqual('the folder was empty', line['reason'])
        self.assertEqual(0, line['last_index'])
        self.cluster.wait_until_applied(self.leader)
        line = self.list_last('join quorum', name)
        self.assertEqual(self.leader.name, line['leader'])

    def test_snapshot_from_the_leader(self):
        name = self.pick_follower()
        self.cluster.crash(name)
        for _ in range(400):
            self.commit_change()
        self.cluster.start(name)
        self.cluster.wait_until_applied(self.leader)
        line = self.list_last('install snapshot', name)
        self.assertGreater(line['index'], line['applied'])
        self.assertEqual(self.leader.name, line['leader'])

    def test_election_with_its_voters(self):
        core = self.leader.driver.core
        line = self.list_last('win election', self.leader.name)
        self.assertEqual(core.term, line['term'])
        self.assertGreaterEqual(set('abc'), set(line['votes']))
        self.assertIn(self.leader.name, line['votes'])

    def test_lines_are_written_once(self):
        for _ in range(20):
            self.commit_change()
        terms = [row['term'] for row in self.lines.list('win election')]
        self.assertEqual(len(set(terms)), len(terms))
        joined = [row['replica'] for row in self.lines.list('join quorum')]
        self.assertEqual(sorted(set(joined)), sorted(joined))

"""Real processes find the leader whatever the seeds in their settings are.

Guards against a deployment that can't be reached any more: the seeds were
replaced by control instances without a vote, and after a restart no process
found the leader, although the voters had one (incident
``docs/incidents/seeds-without-vote.md``).
"""

import random
import time

import testtools
import urllib3

from bilberryhaven.wire import discovery
from soak import machines
from soak import worker

START_TIMEOUT_S = 30
# bounds.finish_s of the deployments: how long callers and operators ask.
FINISH_TIMEOUT_S = 14
POLL_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 3
# Settings are read each second; an exchange follows within a second.
SEED_DELAY_S = 3 * discovery.INTERVAL.total_seconds()
HOST = 'h.example'
CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'r',
            'host': HOST,
            'path_prefix': '/q/',
            'service': 's',
            'timeout_ms': 3000,
        }
    ],
    # The second one is the worker's.
    'services': [{'name': 's'}, {'name': 'desk'}],
}
JOB = {'spec': '', 'steps': [{'task_count': 1, 'cpu': 1000}]}
VOTERS = ('front-1', 'front-2', 'front-3')
OTHERS = ('front-4', 'front-5', 'front-6')
NOBODY = ('front-7', 'front-8', 'front-9')


class SeedsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False)
        self.addCleanup(self.http.clear)

    def start_fleet(self, *, diskless=()):
        self.machines = machines.Machines(
            worker_host_count=1, frontend_host_count=6
        )
        self.addCleanup(self.machines.close, keep=False)
        self.machines.diskless = set(diskless)
        self.agent = 'agent/side-1'
        self.entries = ['entry/front-1', 'entry/front-6']
        self.controls = [f'control/{name}' for name in (*VOTERS, *OTHERS)]
        self.names = [*self.controls, *self.entries, self.agent]
        for name in self.names:
            self.machines.start(name)
        self.wait_for(self.replace_configuration, START_TIMEOUT_S)
        self.wait_for(self.submit, START_TIMEOUT_S)

    def wait_for(self, condition, seconds):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                logs = ''.join(
                    f'{path.name}: {line}\n'
                    for path in sorted(self.machines.folder.glob('*.log'))
                    for line in path.read_text().splitlines()[-6:]
                )
                self.fail(f'not within {seconds} s: {condition}\n{logs}')
            time.sleep(POLL_INTERVAL_S)

    def call(self, name, port, method, path, body=None):
        """Return the status of the answer, or None without one."""
        address = self.machines.find_address(name.partition('/')[2], port)
        try:
            return self.http.request(
                method,
                f'http://{address}{path}',
                json=body,
                headers={'Host': HOST, 'X-Deadline-Ms': '3000'},
                timeout=CALL_TIMEOUT_S,
            ).status
        except urllib3.exceptions.HTTPError:
            return None

    def replace_configuration(self):
        return any(
            self.call(
                name,
                machines.CONTROL_PORT,
                'POST',
                '/Config.Replace',
                CONFIGURATION,
            )
            == 200
            for name in self.controls
        )

    def submit(self):
        return (
            self.call(
                self.entries[0], machines.ENTRY_PORT, 'POST', '/q/1', JOB
            )
            == 200
        )

    def is_served_by_all(self):
        """Return whether each entry and control instance has an answer."""
        states = [
            self.call(name, machines.ENTRY_PORT, 'GET', '/q/1')
            for name in self.entries
            if name in self.machines.processes
        ]
        reads = [
            self.call(name, machines.CONTROL_PORT, 'GET', '/Config.Get')
            for name in self.controls
            if name in self.machines.processes
        ]
        return states and {*states, *reads} == {200}

    def change_seeds(self, seeds):
        # All processes have had the time to learn the members.
        time.sleep(SEED_DELAY_S)
        self.machines.change_seeds(seeds)
        time.sleep(SEED_DELAY_S)

    def start_worker(self):
        app = self.machines.find_address('side-1', machines.APP_PORT)
        stand_in = worker.Worker(
            number=1,
            zone='z',
            listen=app,
            advertised=app,
            agent=self.machines.find_address('side-1', machines.CONTROL_PORT),
            checker=worker.InvariantChecker(),
            random=random.Random(1),
        )
        stand_in.start()
        self.addCleanup(stand_in.stop)

    def restart_in_turn(self):
        for name in reversed(self.names):
            self.machines.kill(name)
            self.machines.start(name)
            time.sleep(POLL_INTERVAL_S)

    def restart_at_once(self):
        for name in self.names:
            self.machines.kill(name)
        for name in self.names:
            self.machines.start(name)

    def test_seeds_without_vote_and_restart_in_turn(self):
        self.start_fleet()
        self.change_seeds(OTHERS)
        self.restart_in_turn()
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_seeds_without_vote_and_restart_at_once(self):
        self.start_fleet()
        self.change_seeds(OTHERS)
        self.restart_at_once()
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_seeds_without_disk_and_restart_at_once(self):
        self.start_fleet(diskless=OTHERS)
        self.change_seeds(OTHERS)
        self.restart_at_once()
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_agent_finds_the_leader_by_seeds_without_vote(self):
        self.start_fleet()
        self.start_worker()
        self.change_seeds(OTHERS)
        self.machines.kill(self.agent)
        log_path = self.machines.folder / 'agent-side-1.log'
        offset = len(log_path.read_text())
        self.machines.start(self.agent)
        self.wait_for(
            lambda: 'leader reached' in log_path.read_text()[offset:],
            FINISH_TIMEOUT_S,
        )

    def test_wrong_seeds_are_survived_by_control_instances(self):
        # Entries keep nothing over a restart; these share their hosts with
        # control instances.
        self.start_fleet()
        self.change_seeds(NOBODY)
        self.restart_at_once()
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_running_processes_need_no_seeds(self):
        self.start_fleet()
        self.change_seeds(NOBODY)
        self.machines.kill('control/front-1')
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_lost_voter_is_replaced_by_a_seed_without_vote(self):
        self.start_fleet()
        self.change_seeds(OTHERS)
        self.restart_at_once()
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)
        for name in VOTERS[:2]:
            self.machines.kill(f'control/{name}', wipe=True)
            # Two voters of three are left until another one has joined.
            self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)
            time.sleep(FINISH_TIMEOUT_S / 2)
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

    def test_added_instance_joins_by_seeds_without_vote(self):
        self.start_fleet()
        self.change_seeds(OTHERS)
        added = 'control/front-7'
        self.machines.kill('control/front-1', wipe=True)
        self.machines.start(added)
        self.controls.append(added)
        self.wait_for(self.is_served_by_all, FINISH_TIMEOUT_S)

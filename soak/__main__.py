"""``python -m soak [--seed N] [--count N] [--seconds S] [--sides N]``.

Runs the seeds one after another. The exit status is 1 if an invariant was
violated. SIGTERM ends the run and all its processes.
"""

import argparse
import random
import signal
import sys
import threading
import time

from soak import caller
from soak import faults
from soak import machines
from soak import proxy
from soak import worker

START_TIMEOUT_S = 30
# Accepted jobs must end within this time after the last fault: 12 s for
# recovery, the rest for the backlog.
SETTLE_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.1
FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
FAULT_DURATION_RANGE_S = (0.3, 6.0)
FINAL_STATES = ('completed', 'cancelled')
TERMINATED_STATUS = 128 + signal.SIGTERM


class Soak:
    """Run of one seed: processes, workers, callers and faults.

    Args:
        seed: Seed of all random choices.
        worker_host_count: Number of worker hosts.
        terminated: Event that ends the run.
    """

    def __init__(self, *, seed, worker_host_count, terminated):
        self.random = random.Random(seed)
        self._terminated = terminated
        self.checker = worker.InvariantChecker()
        self.machines = machines.Machines(worker_host_count=worker_host_count)
        self.next_wipe_at = 0.0
        self.proxies = []
        self.workers = [
            self._build_worker(name) for name in self.machines.worker_hosts
        ]
        self.caller = caller.Caller(
            addresses=[
                self._create_proxy(name, machines.ENTRY_PORT, '127.0.3')
                for name in self.machines.frontend_hosts
            ],
            checker=self.checker,
            random=random.Random(seed + 1),
        )
        self.operator = caller.Operator(
            addresses=[
                self.machines.find_address(name, machines.CONTROL_PORT)
                for name in self.machines.frontend_hosts
            ],
            checker=self.checker,
            random=random.Random(seed + 2),
        )
        self.injected = []

    @staticmethod
    def now():
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def _create_proxy(self, machine, port, network):
        host, number = self.machines.find_address(machine, port).split(':')
        listen_host = f'{network}.{host.rpartition(".")[2]}'
        created = proxy.Proxy(
            listen=(listen_host, 0), target=(host, int(number))
        )
        self.proxies.append(created)
        return created.address

    def _build_worker(self, machine):
        advertised = self._create_proxy(machine, machines.APP_PORT, '127.0.4')
        return worker.Worker(
            number=int(machine.partition('-')[2]),
            zone=self.machines.find_zone(machine),
            listen=self.machines.find_address(machine, machines.APP_PORT),
            advertised=advertised,
            agent=self.machines.find_address(machine, machines.CONTROL_PORT),
            checker=self.checker,
            random=random.Random(self.random.random()),
            on_crash=lambda: self._reset_proxy(advertised),
        )

    def _reset_proxy(self, address):
        # A crashed process loses its connections.
        for item in self.proxies:
            if item.address == address:
                item.reset()

    def run(self, seconds):
        """Run the seed with faults for ``seconds``; return the violations."""
        try:
            self._start()
            self.caller.start()
            self._inject(seconds)
            self.caller.stop()
            self._settle()
        except AssertionError as error:
            self.checker.violations.append(str(error))
        finally:
            self._close()
        return self.checker.violations

    def _start(self):
        for item in self.workers:
            item.start()
        for name in self.machines.names:
            self._check_terminated()
            self.machines.start(name)
        self._wait(
            self.operator.replace,
            START_TIMEOUT_S,
            'the first configuration was accepted',
        )

    def _wait(self, condition, seconds, text):
        end = self.now() + seconds
        while not condition():
            assert self.now() < end, f'timed out after {seconds} s: {text}'
            self._check_terminated()
            time.sleep(POLL_INTERVAL_S)

    def _check_terminated(self):
        # Checked between steps, so that no child process is lost halfway.
        if self._terminated.is_set():
            raise SystemExit(TERMINATED_STATUS)

    def _inject(self, seconds):
        end = self.now() + seconds
        next_at = self.now()
        pending = []
        while self.now() < end:
            self._check_terminated()
            if self.now() >= next_at:
                name, inject = self.random.choice(faults.list_faults())
                undo = inject(self, self.random)
                duration_s = self.random.uniform(*FAULT_DURATION_RANGE_S)
                if undo is not None:
                    pending.append((self.now() + duration_s, undo))
                self.injected.append(name)
                next_at = self.now() + self.random.uniform(
                    *FAULT_INTERVAL_RANGE_S
                )
            pending = self._undo(pending)
            self.operator.check()
            self._restart_exited_processes()
            time.sleep(POLL_INTERVAL_S)
        self._undo(pending, undo_all=True)

    def _undo(self, pending, *, undo_all=False):
        remaining = []
        for at, undo in pending:
            if undo_all or self.now() >= at:
                undo()
            else:
                remaining.append((at, undo))
        return remaining

    def _restart_exited_processes(self):
        for name in self.machines.list_exited():
            self.checker.violations.append(f'{name} exited unexpectedly')
            self.machines.kill(name)
            self.machines.start(name)

    def _settle(self):
        self._wait(
            self.operator.restore_all, SETTLE_TIMEOUT_S, 'zones were restored'
        )
        self._wait(
            self.operator.check, SETTLE_TIMEOUT_S, 'configuration was read'
        )
        pending = set(self.caller.accepted)

        def is_settled():
            for name in sorted(pending):
                if self.caller.get_state(name) in FINAL_STATES:
                    pending.discard(name)
            return not pending

        self._wait(is_settled, SETTLE_TIMEOUT_S, 'all accepted jobs ended')
        ran = self.caller.refused & self.checker.started
        if ran:
            self.checker.violations.append(
                f'jobs refused as not run were started: {ran}'
            )
        running = [ref for item in self.workers for ref in item.list_running()]
        if running:
            self.checker.violations.append(
                f'runs still active after their jobs ended: {running}'
            )

    def _close(self):
        for item in self.workers:
            item.stop()
        for item in self.proxies:
            item.close()
        self.machines.close(keep=bool(self.checker.violations))


def run(args):
    """Run the seeds; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--sides', type=int, default=3)
    opts = parser.parse_args(args)
    failed = []
    terminated = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: terminated.set())
    for seed in range(opts.seed, opts.seed + opts.count):
        soak = Soak(
            seed=seed, worker_host_count=opts.sides, terminated=terminated
        )
        violations = soak.run(opts.seconds)
        print(
            f'seed {seed}: {len(soak.caller.accepted)} jobs accepted, '
            f'{soak.checker.starts} starts, {len(soak.injected)} faults, '
            f'{soak.caller.rejections} rejections, '
            f'{sum(item.stale_calls for item in soak.workers)} stale calls, '
            f'answers {soak.caller.statuses}',
            flush=True,
        )
        if violations:
            failed.append(seed)
            print(f'seed {seed} failed, logs in {soak.machines.folder}:')
            print('\n'.join(violations[:20]), flush=True)
    print(f'{opts.count - len(failed)} seeds passed, failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))

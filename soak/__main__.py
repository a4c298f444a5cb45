"""``python -m soak [--seed N] [--count N] [--seconds S] [--sides N]``.

Plays seeds one after the other; the exit status is 1 if a promise was broken.
"""

import argparse
import random
import sys
import time

from soak import caller
from soak import faults
from soak import machines
from soak import proxy
from soak import worker

START_SECONDS = 30
# Jobs that were accepted must end within this time after the last fault:
# twelve seconds of recovery, then the backlog.
SETTLE_SECONDS = 60
STEP_SECONDS = 0.1
FAULT_PAUSE = (0.3, 2.0)
FAULT_LENGTH = (0.3, 6.0)
FINAL_STATES = ('completed', 'cancelled')


class Soak:
    """One seed: processes, workers, callers and faults.

    Args:
        seed: The seed.
        sides: How many workers there are.
    """

    def __init__(self, *, seed, sides):
        self.random = random.Random(seed)
        self.judge = worker.Judge()
        self.machines = machines.Machines(sides=sides)
        self.disks_sound_at = 0.0
        self.proxies = []
        self.workers = [
            self._build_worker(name) for name in self.machines.sides
        ]
        self.caller = caller.Caller(
            addresses=[
                self._put_proxy(name, machines.ENTRY_PORT, '127.0.3')
                for name in self.machines.fronts
            ],
            judge=self.judge,
            random=random.Random(seed + 1),
        )
        self.operator = caller.Operator(
            addresses=[
                self.machines.find_address(name, machines.CONTROL_PORT)
                for name in self.machines.fronts
            ],
            judge=self.judge,
            random=random.Random(seed + 2),
        )
        self.played = []

    @staticmethod
    def now():
        """Return monotonic seconds."""
        return time.monotonic()

    def _put_proxy(self, machine, port, network):
        host, number = self.machines.find_address(machine, port).split(':')
        near = f'{network}.{host.rpartition(".")[2]}'
        made = proxy.Proxy(listen=(near, 0), target=(host, int(number)))
        self.proxies.append(made)
        return made.address

    def _build_worker(self, machine):
        announced = self._put_proxy(machine, machines.APP_PORT, '127.0.4')
        return worker.Worker(
            number=int(machine.partition('-')[2]),
            listen=self.machines.find_address(machine, machines.APP_PORT),
            announced=announced,
            agent=self.machines.find_address(machine, machines.CONTROL_PORT),
            judge=self.judge,
            random=random.Random(self.random.random()),
            on_crash=lambda: self._reset_proxy(announced),
        )

    def _reset_proxy(self, address):
        # A process's connections end with it.
        for item in self.proxies:
            if item.address == address:
                item.reset()

    def play(self, seconds):
        """Play the seed; return the broken promises."""
        try:
            self._start()
            self.caller.start()
            self._inject(seconds)
            self.caller.stop()
            self._settle()
        except AssertionError as error:
            self.judge.broken.append(str(error))
        finally:
            self._close()
        return self.judge.broken

    def _start(self):
        for item in self.workers:
            item.start()
        for name in self.machines.names:
            self.machines.start(name)
        self._wait(self.operator.replace, START_SECONDS, 'a configuration')

    def _wait(self, condition, seconds, text):
        end = self.now() + seconds
        while not condition():
            assert self.now() < end, f'not within {seconds} s: {text}'
            time.sleep(STEP_SECONDS)

    def _inject(self, seconds):
        end = self.now() + seconds
        next_at = self.now()
        pending = []
        while self.now() < end:
            if self.now() >= next_at:
                name, inject = self.random.choice(faults.list_faults())
                undo = inject(self, self.random)
                length = self.random.uniform(*FAULT_LENGTH)
                if undo is not None:
                    pending.append((self.now() + length, undo))
                self.played.append(name)
                next_at = self.now() + self.random.uniform(*FAULT_PAUSE)
            pending = self._undo(pending)
            self.operator.check()
            self._check_processes()
            time.sleep(STEP_SECONDS)
        self._undo(pending, all_of_them=True)

    def _undo(self, pending, *, all_of_them=False):
        left = []
        for at, undo in pending:
            if all_of_them or self.now() >= at:
                undo()
            else:
                left.append((at, undo))
        return left

    def _check_processes(self):
        for name in self.machines.list_dead():
            self.judge.broken.append(f'{name} ended by itself')
            self.machines.kill(name)
            self.machines.start(name)

    def _settle(self):
        self._wait(self.operator.check, SETTLE_SECONDS, 'the configuration')
        left = set(self.caller.accepted)

        def is_settled():
            for name in sorted(left):
                if self.caller.ask(name) in FINAL_STATES:
                    left.discard(name)
            return not left

        self._wait(is_settled, SETTLE_SECONDS, 'all accepted jobs have ended')
        ran = self.caller.refused & self.judge.started
        if ran:
            self.judge.broken.append(f'refused as not run, but ran: {ran}')
        running = [ref for item in self.workers for ref in item.list_running()]
        if running:
            self.judge.broken.append(f'left running: {running}')

    def _close(self):
        for item in self.workers:
            item.stop()
        for item in self.proxies:
            item.close()
        self.machines.close(keep=bool(self.judge.broken))


def run(args):
    """Play the seeds; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--sides', type=int, default=3)
    opts = parser.parse_args(args)
    failed = []
    for seed in range(opts.seed, opts.seed + opts.count):
        soak = Soak(seed=seed, sides=opts.sides)
        broken = soak.play(opts.seconds)
        print(
            f'seed {seed}: {len(soak.caller.accepted)} jobs accepted, '
            f'{soak.judge.starts} starts, {len(soak.played)} faults, '
            f'{sum(item.stale_calls for item in soak.workers)} stale calls, '
            f'answers {soak.caller.statuses}',
            flush=True,
        )
        if broken:
            failed.append(seed)
            print(f'seed {seed} broke, logs in {soak.machines.folder}:')
            print('\n'.join(broken[:20]), flush=True)
    print(f'{opts.count - len(failed)} seeds passed, failed: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))

"""``python -m soak.rig --sheet FILE [--root DIR] [--seed N] [--count N]``.

Plays a deployment's sheet with real processes: the programs of the deploy file
in ``--root``, which may be another version, and a process for each worker.
Faults come in series that overlap. Afterwards the events of all workers are
judged: no task may run twice at once, or start after an end as done that was
acknowledged. The exit status is 1 if one did.
"""

import argparse
import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from review import deployment as review_deployment
from soak import rig_callers
from soak import rig_faults
from soak import rig_hearsay  # noqa: F401
from soak import rig_hooks
from soak import rig_machine_faults
from soak import rig_oracle
from soak import rig_sheet_faults  # noqa: F401
from tests import processes

__all__ = ['Rig']

HERE = pathlib.Path(__file__).resolve().parent.parent
PORTS = (
    'frontend',
    'ready',
    'control',
    'internal',
    'app',
    'second app',
    'second control',
    'second internal',
    # Nothing listens there.
    'closed',
)
START_TIMEOUT_S = 40
EVACUATE_MS = 5_000
SETTLE_S = 12
HELD_TIMEOUT_S = 6
RESTART_DELAY_S = 0.3
# Machines that take the place of others have higher numbers.
NEW_HOST_NUMBER = 100
CALLERS = 12
MAX_FAULTS = 4
SERVES = {
    'entry': 'frontend',
    'control': 'control_plane',
    'agent': 'side',
    'second agent': 'side',
}
WORKERS = ('worker', 'second worker')


@dataclasses.dataclass(kw_only=True)
class Host:
    """A machine of the sheet.

    Attributes:
        name: Its name.
        address: Its loopback address.
        zone: Its zone.
        roles: Roles of the deploy file that it runs.
        has_disk: Whether it has a disk.
        spare: Whether it starts without a worker.
        size: Factor of its worker's capacity.
        lives: Number of workers that were started there.
    """

    name: str
    address: str
    zone: str
    roles: tuple
    has_disk: bool = False
    spare: bool = False
    size: float = 1.0
    lives: int = 0


class Rig:
    """One run: processes, callers, faults and the verdict.

    Args:
        sheet: Contents of the sheet, a mapping.
        root: Folder of the version that is played.
        seed: Seed of all random choices.
        most_sides: Largest number of side machines.
        kinds: Names of the kinds of faults, or None for all.
        extras: Share of jobs with what the sheet's classes don't have.
    """

    def __init__(
        self, *, sheet, root, seed, most_sides, kinds=None, extras=0.0
    ):
        self.sheet = sheet
        self.root = pathlib.Path(root).resolve()
        self.random = random.Random(seed)
        self.kinds = kinds
        self.tolerated = sheet.get('tolerate', {}).get('machines', 1)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='rig-'))
        (self.folder / 'gangs').mkdir()
        self.ports = dict(
            zip(PORTS, processes.find_ports(len(PORTS)), strict=True)
        )
        with open(self.root / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.commands = {k: v['run'].split() for k, v in roles.items()}
        self.shares = {k: v.get('share', 1.0) for k, v in roles.items()}
        self.hosts = {}
        self._build_hosts(most_sides)
        controls = [h.name for h in self._list('control') if h.has_disk]
        self.seeds = controls[:3]
        self.processes = {}
        self.down = set()
        self.lock = threading.RLock()
        self.core_lock = threading.Lock()
        self.hooks = rig_hooks.Hooks(
            folder=self.folder,
            has_links=rig_machine_faults.needs_links(kinds),
        )
        self.stopping = threading.Event()
        self.injected = collections.Counter()
        self.statuses = collections.Counter()
        self.callers = rig_callers.Callers(rig=self, extras=extras)
        self.version = 0
        self.unheld = []
        self._started = set()
        self._new_hosts = 0
        self._lives = {}

    def _build_hosts(self, most_sides):
        zones = [zone['name'] for zone in self.sheet['zones']]
        counts = collections.Counter()
        rows = self.sheet['machines']
        sides = sum(r['count'] for r in rows if r['class'] == 'side')
        share = min(1.0, most_sides / sides)
        for row in rows:
            zone = zones.index(row['zone'])
            is_side = row['class'] == 'side'
            count = row['count']
            spare = row.get('spare', 0) if is_side else 0
            if is_side:
                count = max(1, round(count * share))
                spare = max(1, round(spare * share))
            for position in range(count + spare):
                counts[zone, is_side] += 1
                number = counts[zone, is_side]
                self._add_host(zone, number, row, is_spare=position >= count)
        for zone in zones:
            names = [
                h for h in self.hosts.values() if h.zone == zone and h.roles
            ]
            fronts = [h for h in names if 'entry' in h.roles]
            needed = max(1, -int(-len(fronts) * self.shares['control'] // 1))
            for host in fronts[:needed]:
                host.roles += ('control',)

    def _add_host(self, zone, number, row, *, is_spare):
        is_side = row['class'] == 'side'
        kind = 'side' if is_side else 'front'
        name = f'{kind}-{row["zone"]}-{number}'
        network = 60 + zone + (20 if is_side else 0)
        self.hosts[name] = Host(
            name=name,
            address=f'127.{network}.0.{number}',
            zone=row['zone'],
            roles=('agent',) if is_side else ('entry',),
            has_disk='disk' in row,
            spare=is_spare,
            size=self.random.choice([1.0, 1.0, 1.5]),
        )

    def _list(self, role):
        return [h for h in self.hosts.values() if role in h.roles]

    def find_address(self, name, port):
        """Return HOST:PORT of one of a machine's services."""
        return f'{self.hosts[name].address}:{self.ports[port]}'

    def _write_settings(self, name, role):
        host = self.hosts[name]
        timing = self.sheet['timing']
        # A second process of an instance needs ports of its own.
        second = 'second ' if role.startswith('second') else ''
        internal = self.ports[f'{second}internal']
        fields = {
            'node_name': name,
            'role': role.removeprefix('second '),
            'serves': SERVES[role],
            'ip': host.address,
            'zone': host.zone,
            'listen.frontend': self.find_address(name, 'frontend'),
            'listen.ready': self.find_address(name, 'ready'),
            'listen.control': self.find_address(name, f'{second}control'),
            'internal_port_range': f'{internal},{internal}',
            'seeds': ','.join(
                self.find_address(seed, 'control') for seed in self.seeds
            ),
            'bootstrap': str((name, role) not in self._started).lower(),
            'fault_tolerance.machines': str(self.tolerated),
            'bounds.max_lease_ms': str(int(timing['hold_max_ms'])),
            'bounds.evacuate_ms': str(EVACUATE_MS),
            'bounds.status_s': '120',
            'command_mode': 'push',
        }
        for zone in self.sheet['zones']:
            fields[f'zones.{zone["name"]}'] = zone['region']
        if role == 'control' and host.has_disk:
            fields['data_dir'] = str(self.folder / f'{name}.data')
        if role.endswith('agent'):
            fields['app'] = self.find_address(name, 'app')
        path = self.folder / f'{name}-{role}.conf'
        draft = path.with_suffix('.new')
        draft.write_text(''.join(f'{k}={v}\n' for k, v in fields.items()))
        draft.replace(path)
        return path

    def start(self, name, role):
        """Start a role of a machine with the deploy file's command."""
        with self.lock:
            if (name, role) in self.processes or self.stopping.is_set():
                return
            if role.removeprefix('second ') not in self.hosts[name].roles:
                # The machine is gone for good.
                return
            path = self._write_settings(name, role)
            self._started.add((name, role))
            env = {
                'PATH': os.environ['PATH'],
                'HOME': os.environ['HOME'],
                'PYTHONPATH': os.pathsep.join(
                    [
                        str(rig_hooks.MODULES),
                        str(self.root / 'target' / 'deps'),
                    ]
                ),
                'BILBERRYHAVEN_BOOT': str(path),
                **self.hooks.build_environment((name, role)),
            }
            command = self.commands[role.removeprefix('second ')]
            self._spawn((name, role), command, self.root, env)

    def add_empty_host(self, gone):
        """Replace a machine by an empty one; returns the new one's name."""
        with self.lock:
            former = self.hosts[gone]
            roles, former.roles = former.roles, ()
            network, _, _ = former.address.rpartition('.')
            self._new_hosts += 1
            host = dataclasses.replace(
                former,
                name=f'front-{former.zone}-new-{self._new_hosts}',
                address=f'{network}.{NEW_HOST_NUMBER + self._new_hosts}',
                roles=roles,
            )
            # Other threads iterate over the mapping.
            self.hosts = {**self.hosts, host.name: host}
            # The settings of a later machine don't found a quorum.
            self._started.update((host.name, role) for role in roles)
            self.hooks.add_target(
                host.name, self.find_address(host.name, 'internal')
            )
        return host.name

    def write_seeds(self, seeds):
        """Write other seeds to all settings; the processes read them."""
        self.seeds = list(seeds)
        for key in self.list_keys('entry', 'control', 'agent'):
            self._write_settings(*key)
            self.signal(key, signal.SIGHUP)

    def find_status(self, name):
        """Return what a control instance reports, or None."""
        status, body = rig_callers.call(
            self.find_address(name, 'internal'), 'GET', '/readyz', 0.3
        )
        return json.loads(body) if status == 200 else None

    def start_worker(
        self, name, *, same_id=False, role='worker', agent='control'
    ):
        """Start a worker on a side machine, for the agent at a port."""
        with self.lock:
            if (name, role) in self.processes or self.stopping.is_set():
                return
            host = self.hosts[name]
            host.lives += 1
            key = (name, role)
            if not same_id or key not in self._lives:
                self._lives[key] = f'i-{self.random.getrandbits(32):08x}'
            node = self.sheet['services'][0]['node']
            timing = self.sheet['timing']
            command = [
                sys.executable,
                '-m',
                'soak.rig_worker',
                '--id',
                self._lives[key],
                '--zone',
                host.zone,
                '--service',
                'desk',
                '--listen',
                self.find_address(
                    name, 'app' if role == 'worker' else 'second app'
                ),
                '--agent',
                self.find_address(name, agent),
                '--events',
                str(self._find_events(name, role)),
                '--gangs',
                str(self.folder / 'gangs'),
                '--rack',
                f'r-{name}',
                '--cpu',
                str(int(node['cpu'] * host.size)),
                '--memory-mb',
                str(int(node['mem_mb'] * host.size)),
                '--heartbeat-ms',
                str(int(self.sheet['discovery']['beat_ms'])),
                '--drain-ms',
                str(int(self.sheet['bounds']['drain_ms'])),
                '--stop-ms',
                str(int(timing['stop_ms'])),
                '--save-ms',
                str(int(timing['save_s'] * 1000)),
                '--restore-ms',
                str(int(timing['restore_ms'])),
                '--clock-rate',
                str(self.random.choice([0.98, 0.99, 1.0])),
                '--seed',
                str(self.random.getrandbits(30)),
            ]
            path = os.pathsep.join([str(rig_hooks.MODULES), str(HERE)])
            env = {
                **os.environ,
                'PYTHONPATH': path,
                **self.hooks.build_clock_environment(key),
            }
            self._spawn(key, command, HERE, env)

    def _find_events(self, name, role):
        # A file for each port, so that one has the events of one life at a
        # time.
        suffix = '' if role == 'worker' else '+2'
        return self.folder / f'{name}{suffix}.events'

    def _spawn(self, key, command, folder, env):
        with open(self.folder / f'{"-".join(key)}.log', 'a') as log:
            self.processes[key] = subprocess.Popen(
                command,
                cwd=folder,
                env=env,
                stdin=subprocess.PIPE,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def write_mode(self, name, mode, share, seconds, *, role='worker'):
        """Set how a worker treats calls."""
        process = self.processes.get((name, role))
        if process is None:
            return
        with contextlib.suppress(OSError):
            process.stdin.write(f'{mode} {share} {seconds}\n'.encode())
            process.stdin.flush()

    def signal(self, key, number):
        """Send a signal to a process."""
        process = self.processes.get(key)
        if process is not None:
            process.send_signal(number)

    def kill(self, key):
        """End a process by SIGKILL."""
        with self.lock:
            process = self.processes.pop(key, None)
        if process is None:
            return
        signalled_at = time.monotonic()
        process.kill()
        killed_at = time.monotonic()
        process.wait()
        if key[1] in WORKERS:
            self._note_exit(key, signalled_at, killed_at)

    def _note_exit(self, key, signalled_at, killed_at):
        # No thread of the process executes anything once the signal has been
        # sent, but the process is collected some milliseconds later.
        event = {
            'at': time.monotonic(),
            'what': 'exit',
            'signalled_at': signalled_at,
            'killed_at': killed_at,
        }
        with open(self._find_events(*key), 'a') as file:
            file.write(json.dumps(event) + '\n')

    def note_call(self, name, path, fields, status):
        """Record a call of another writer, for traces."""
        row = {
            'at': time.monotonic(),
            'wall': time.time(),
            'name': name,
            'path': path,
            'fields': fields,
            'status': status,
        }
        with open(self.folder / 'calls.jsonl', 'a') as file:
            file.write(json.dumps(row) + '\n')

    def terminate(self, key):
        """Stop a process by SIGTERM, by SIGKILL after the grace time."""
        with self.lock:
            process = self.processes.pop(key, None)
        if process is None:
            return
        process.terminate()
        try:
            process.wait(6)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def list_keys(self, *roles):
        """Return the running processes of some roles."""
        return sorted(
            key
            # Other threads start and end processes meanwhile.
            for key, process in list(self.processes.items())
            if key[1] in roles and process.poll() is None
        )

    def find_leader(self):
        """Return the machine of the leader, or None."""
        for name, _ in self.list_keys('control'):
            if not self.hosts[name].has_disk:
                continue
            status = self.find_status(name)
            if status is not None and status['role'] == 'leader':
                return name
        return None

    def run(self, seconds):
        """Play; return the sentences about broken rules."""
        try:
            self._start_all()
            with concurrent.futures.ThreadPoolExecutor(
                CALLERS + MAX_FAULTS
            ) as pool:
                futures = [
                    pool.submit(self.callers.call_for, number, seconds)
                    for number in range(CALLERS)
                ]
                self._inject(pool, seconds)
                concurrent.futures.wait(futures)
                settled_at = time.monotonic() + SETTLE_S
                while time.monotonic() < settled_at:
                    time.sleep(RESTART_DELAY_S)
                    self._restart_ended()
            self.unheld = self._find_unheld()
        finally:
            self.stopping.set()
            self.close()
        return rig_oracle.find_breaks(self.read_events(), self._read_jobs())

    def _find_unheld(self):
        """Return the running workers whose lease nobody renews any more."""
        events = self.read_events()
        since = time.monotonic() - HELD_TIMEOUT_S
        unheld = []
        for key in self.list_keys(*WORKERS):
            rows = events.get(self._find_events(*key).stem, [])
            if not rig_oracle.is_held(rows, since):
                unheld.append(' '.join(key))
        return unheld

    def _start_all(self):
        for host in self._list('control'):
            self.hooks.add_target(
                host.name, self.find_address(host.name, 'internal')
            )
        for host in self.hosts.values():
            for role in host.roles:
                self.start(host.name, role)
            if 'agent' in host.roles and not host.spare:
                self.start_worker(host.name)
        end = time.monotonic() + START_TIMEOUT_S
        while not self.replace():
            if time.monotonic() > end:
                raise SystemExit('no configuration was accepted')
            time.sleep(0.3)

    def replace(self):
        """Send the next configuration once to each machine in turn."""
        self.version += 1
        body = self._build_config()
        for host in self._list('control'):
            address = self.find_address(host.name, 'control')
            status, _ = rig_callers.call(
                address, 'POST', '/Config.Replace', 1, body
            )
            if status == 200:
                return True
        return False

    def _build_config(self):
        body = review_deployment.build_config(self.version)
        (usual,) = body['routes']
        body['routes'] = [
            {
                **usual,
                'name': f'r-{row["name"]}',
                'host': rig_callers.HOST,
                'path_prefix': f'/{row["name"]}/',
                'target_latency_ms': int(row['aim_ms']),
                'priority': row['priority'],
                'max_attempts': row['attempts'],
                'service': 'desk',
            }
            for row in self.sheet['classes']
        ]
        body['services'][0]['name'] = 'desk'
        return body

    def _inject(self, pool, seconds):
        end = time.monotonic() + seconds
        pending = []
        while time.monotonic() < end:
            chosen = rig_faults.choose(self.random, self.kinds)
            if len([f for f in pending if not f.done()]) < MAX_FAULTS:
                self.injected[chosen] += 1
                pending.append(pool.submit(rig_faults.inject, chosen, self))
            time.sleep(self.random.uniform(0.4, 2.0))
            self._restart_ended()
        concurrent.futures.wait(pending)
        for future in pending:
            if future.exception() is not None:
                self.injected[f'failed: {future.exception()!r}'] += 1

    def _restart_ended(self):
        for key, process in list(self.processes.items()):
            if process.poll() is not None:
                with self.lock:
                    self.processes.pop(key, None)
                if key[1] in self.commands:
                    self.start(*key)

    def read_events(self):
        """Return the workers' events by machine."""
        return {
            path.stem: [
                json.loads(line) for line in path.read_text().splitlines()
            ]
            for path in self.folder.glob('*.events')
        }

    def _read_jobs(self):
        path = self.folder / 'jobs.jsonl'
        rows = path.read_text().splitlines() if path.exists() else []
        return [json.loads(row) for row in rows]

    def close(self):
        """End all processes."""
        for key in list(self.processes):
            self.kill(key)
        self.hooks.close()


def main(args):
    """Play the seeds; return the exit status."""
    parser = argparse.ArgumentParser(prog='python -m soak.rig')
    parser.add_argument('--sheet', required=True)
    parser.add_argument('--root', default=str(HERE))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--count', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--sides', type=int, default=11)
    parser.add_argument(
        '--kinds', help='separated by semicolons; default: all'
    )
    parser.add_argument(
        '--extras',
        type=float,
        default=0.0,
        help='share of jobs with gangs, copies, or occurrences, each',
    )
    parser.add_argument('--keep', action='store_true')
    opts = parser.parse_args(args)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    with open(opts.sheet, 'rb') as file:
        sheet = tomllib.load(file)
    failed = 0
    for seed in range(opts.seed, opts.seed + opts.count):
        rig = Rig(
            sheet=sheet,
            root=opts.root,
            seed=seed,
            most_sides=opts.sides,
            kinds=opts.kinds.split(';') if opts.kinds else None,
            extras=opts.extras,
        )
        breaks = rig.run(opts.seconds)
        starts = sum(
            event['what'] == 'start'
            for rows in rig.read_events().values()
            for event in rows
        )
        print(
            f'{sheet["name"]} seed {seed}: {starts} starts, answers '
            f'{dict(rig.statuses)}, faults {dict(rig.injected)}, '
            f'{len(breaks)} breaks, not held at the end {rig.unheld}',
            flush=True,
        )
        if breaks:
            failed += 1
            print(f'  logs in {rig.folder}')
            print('\n'.join(f'  {line}' for line in breaks[:10]), flush=True)
        if not breaks and not opts.keep:
            shutil.rmtree(rig.folder, ignore_errors=True)
    print(f'{failed} of {opts.count} runs broke a rule')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))

"""The main job, run once for each example deployment in this process.

Says what it does in plain lines; the last line is one JSON object.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import time

import msgspec
import urllib3

from bilberryhaven import clock as clocks
from bilberryhaven import cmdline
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.roles import standalone
from bilberryhaven import settings as settings_module

__all__ = ['DEPLOYMENTS', 'Deployment', 'run', 'run_deployment']

EXAMPLES = pathlib.Path('examples')
REQUESTS = 200
CALLERS = 16
DEADLINE_MS = 2000
WAIT = clocks.seconds(30)
POLL_SECONDS = 0.1
JOB_SECONDS = 0.5
SERVICE_MS = 12.0
RESENDS = 3


@dataclasses.dataclass(kw_only=True, frozen=True)
class Deployment:
    """One example deployment and the work that it shows.

    Attributes:
        name: Its name; also that of its files under ``examples``.
        service: Its service workload.
        batch: Its batch workload.
        watch: Its watch workload.
        once: Its batch workload that must run at most once, or empty.
        jobs: How many jobs of the batch workload are submitted.
    """

    name: str
    service: str
    batch: str
    watch: str
    once: str = ''
    jobs: int = 4


DEPLOYMENTS = (
    Deployment(
        name='lianhe',
        service='liner-check',
        batch='silt-survey',
        watch='water-watch',
    ),
    Deployment(
        name='al-harthy',
        service='price-check',
        batch='bulk-quote',
        watch='stock-watch',
        once='recipe',
    ),
)


@dataclasses.dataclass(kw_only=True)
class Figures:
    """What the demo counted.

    Attributes:
        ok: Whether all held so far.
        latencies_ms: One for each whole answer.
        jobs_finished: Batch jobs that finished.
        once_issued: Starts of work that must run at most once.
        watches_running: Watches that run at the end.
        revision_in_force: Newest revision that was in force everywhere.
    """

    ok: bool = True
    latencies_ms: list[float] = dataclasses.field(default_factory=list)
    jobs_finished: int = 0
    once_issued: int = 0
    watches_running: int = 0
    revision_in_force: int = 0

    def summarize(self):
        """Return the last line's mapping."""
        ordered = sorted(self.latencies_ms)
        return {
            'ok': self.ok,
            'answers': len(ordered),
            'p50_ms': _pick(ordered, 0.50),
            'p99_ms': _pick(ordered, 0.99),
            'jobs_finished': self.jobs_finished,
            'once_issued': self.once_issued,
            'watches_running': self.watches_running,
            'revision_in_force': self.revision_in_force,
        }


def _pick(ordered, share):
    if not ordered:
        return 0.0
    return round(ordered[min(int(len(ordered) * share), len(ordered) - 1)], 2)


class Api:
    """HTTP client of a running system.

    Args:
        address: HOST:PORT of its entry.
    """

    def __init__(self, *, address):
        self._base = f'http://{address}'
        self._pool = urllib3.PoolManager(maxsize=CALLERS, retries=False)

    def call(self, method, path, body=None, headers=None):
        """Return the JSON answer.

        Raises:
            BilberryhavenError: The answer is an error.
        """
        response = self._pool.request(
            method,
            self._base + path,
            json=body,
            headers=headers or {'Content-Type': 'application/json'},
            timeout=WAIT.total_seconds(),
        )
        answer = json.loads(response.data)
        if response.status >= 400:
            raise errors.build_error(answer)
        return answer


class Walk:
    """One deployment's demonstration.

    Args:
        deployment: The ``Deployment``.
        figures: The ``Figures`` to add to.
        folder: Folder for its data.
        clock: The ``Clock``.
    """

    def __init__(self, *, deployment, figures, folder, clock):
        self._deployment = deployment
        self._figures = figures
        self._clock = clock
        path = EXAMPLES / f'{deployment.name}.yaml'
        self._settings = msgspec.structs.replace(
            settings_module.load_settings(path),
            listen=standalone.ANY_PORT,
            data=str(folder / deployment.name),
        )
        self._system = None
        self._api = None

    def run(self):
        """Show everything, restart, and show that nothing was lost."""
        self._start()
        try:
            self._apply_workloads()
            self._send_requests()
            self._run_jobs()
            self._run_once()
            self._start_watch()
            self._change_label()
            self._restart()
            self._check_watch()
        finally:
            self._system.stop()

    def _say(self, text):
        print(f'[{self._deployment.name}] {text}', flush=True)

    def _check(self, condition, text):
        self._say(('ok: ' if condition else 'FAILED: ') + text)
        if not condition:
            self._figures.ok = False

    def _wait(self, condition, text):
        """Wait until ``condition()``; say whether it came true."""
        end = self._clock.monotonic() + WAIT
        while self._clock.monotonic() < end:
            if condition():
                self._check(True, text)
                return
            time.sleep(POLL_SECONDS)
        self._check(False, text)

    def _start(self):
        deployment = self._deployment
        self._system = standalone.Standalone(
            settings=self._settings,
            clock=self._clock,
            service_times_ms={deployment.service: SERVICE_MS},
        )
        self._system.start()
        self._api = Api(address=self._system.address)
        count = self._settings.standalone.instances
        self._wait(
            lambda: self._count_connected() == count,
            f'{count} instances announced themselves',
        )

    def _count_connected(self):
        try:
            rows = self._api.call('GET', '/v1/instances')['instances']
        except errors.BilberryhavenError:
            return 0
        return sum(row['connected'] for row in rows)

    def _apply_workloads(self):
        path = EXAMPLES / f'{self._deployment.name}-workloads.yaml'
        status = cmdline.main(
            ['--server', self._system.address, 'apply', str(path)]
        )
        self._check(status == 0, f'applied {path}')
        self._wait(self._is_in_force, 'the workloads are in force everywhere')

    def _is_in_force(self):
        answer = self._api.call('GET', '/v1/in-force')
        if answer['in_force']:
            newest = max(self._figures.revision_in_force, answer['revision'])
            self._figures.revision_in_force = newest
        return answer['in_force']

    def _send_requests(self):
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            taken = list(pool.map(self._send_request, range(REQUESTS)))
        answered = [value for value in taken if value is not None]
        self._figures.latencies_ms.extend(answered)
        self._check(
            len(answered) == REQUESTS,
            f'{len(answered)} of {REQUESTS} {self._deployment.service} '
            'requests got their own whole answer in time',
        )

    def _send_request(self, number):
        start = self._clock.monotonic()
        question = f'question {number} of {self._deployment.name}'
        body = {
            'workload': self._deployment.service,
            'body': question,
            'deadline_ms': DEADLINE_MS,
            'idempotent': True,
        }
        try:
            answer = self._api.call('POST', '/v1/requests', body)
        except errors.BilberryhavenError as error:
            self._say(f'a request failed: {error}')
            return None
        if question not in str(answer['body']):
            return None
        taken = self._clock.monotonic() - start
        return taken.total_seconds() * 1000

    def _submit(self, job_id, workload, payload):
        body = {'id': job_id, 'workload': workload, 'payload': payload}
        return self._api.call('POST', '/v1/jobs', body)

    def _get_state(self, job_id):
        return self._api.call('GET', f'/v1/jobs/{job_id}')['state']

    def _run_jobs(self):
        deployment = self._deployment
        ids = [f'{deployment.batch}-{i}' for i in range(deployment.jobs)]
        for job_id in ids:
            self._submit(job_id, deployment.batch, {'seconds': JOB_SECONDS})
        self._wait(
            lambda: all(self._get_state(i) == 'finished' for i in ids),
            f'{len(ids)} {deployment.batch} jobs finished',
        )
        states = [self._get_state(job_id) for job_id in ids]
        self._figures.jobs_finished += states.count('finished')

    def _run_once(self):
        if not self._deployment.once:
            return
        job_id = f'{self._deployment.once}-1'
        for _ in range(RESENDS):
            self._submit(
                job_id, self._deployment.once, {'seconds': JOB_SECONDS}
            )
        self._wait(
            lambda: self._get_state(job_id) == 'finished',
            f'{job_id}, sent {RESENDS} times, finished',
        )
        starts = self._count_starts(job_id)
        self._figures.once_issued += starts
        self._figures.jobs_finished += 1
        self._check(starts == 1, f'{job_id} was issued {starts} time(s)')

    def _count_starts(self, job_id):
        servers = self._system.standins.values()
        return sum(server.task_starts[job_id] for server in servers)

    def _start_watch(self):
        job_id = f'{self._deployment.watch}-1'
        self._submit(job_id, self._deployment.watch, {})
        self._wait(
            lambda: self._get_state(job_id) == 'running', f'{job_id} runs'
        )

    def _change_label(self):
        name = self._deployment.service
        answer = self._api.call(
            'PATCH',
            f'/v1/workloads/{name}/labels',
            {'labels': {'season': 'dry'}},
        )
        self._wait(
            self._is_in_force,
            f'label season=dry is in force as revision {answer["revision"]}',
        )
        row = self._api.call('GET', f'/v1/workloads/{name}')
        self._check(
            row['labels'].get('season') == 'dry', 'the label reads back'
        )

    def _restart(self):
        before = self._api.call('GET', '/v1/in-force')['revision']
        self._system.stop()
        self._say('stopped gracefully; starting again on the same folder')
        self._start()
        after = self._api.call('GET', '/v1/in-force')['revision']
        self._check(before == after, f'revision {after} survived the restart')

    def _check_watch(self):
        job_id = f'{self._deployment.watch}-1'
        self._wait(
            lambda: self._get_state(job_id) == 'running',
            f'{job_id} runs again after the restart',
        )
        if self._get_state(job_id) == 'running':
            self._figures.watches_running += 1


def run_deployment(deployment, *, figures, folder, clock):
    """Run one deployment's demonstration and add to ``figures``."""
    walk = Walk(
        deployment=deployment, figures=figures, folder=folder, clock=clock
    )
    try:
        walk.run()
    except (errors.BilberryhavenError, urllib3.exceptions.HTTPError) as error:
        print(f'[{deployment.name}] FAILED: {error}')
        figures.ok = False


def run(settings, clock):
    """Run the demo in a fresh data folder; return the exit status."""
    data = settings.data if settings else 'data'
    folder = pathlib.Path(data) / 'demo'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    handler = log.start_logging(stream=(folder / 'log.jsonl').open('w'))
    figures = Figures()
    for deployment in DEPLOYMENTS:
        run_deployment(deployment, figures=figures, folder=folder, clock=clock)
    handler.pop_application()
    print(f'the decisions are in {folder / "log.jsonl"}')
    print(json.dumps(figures.summarize()))
    return 0 if figures.ok else 1

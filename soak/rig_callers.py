"""Callers of the rig: they submit jobs, ask for them and cancel them."""

import heapq
import http.client
import itertools
import json
import random
import threading
import time

__all__ = ['Callers', 'build_job', 'call']

HOST = 'rig.example'
CALL_TIMEOUT_S = 3
ATTEMPTS = 4
RETRY_INTERVAL_S = 0.2
MEAN_PAUSE_S = 2.5
BURST_FACTOR = 2.6
CHECK_INTERVAL_S = 0.1
# When a request that was accepted comes once more.
AGAIN_RANGE_S = (0.5, 12.0)
ASK_RANGE_S = (2.0, 5.0)
MAX_QUESTIONS = 5
CANCEL_RANGE_S = (0.0, 4.0)
STAY_RANGE_S = (5.0, 40.0)
GANG_RANGE = (2, 5)
MAX_COPIED_TASKS = 6
OCCURRENCES_RANGE = (2, 4)
INTERVAL_RANGE_MS = (300, 4_000)
START_DELAY_MS = 800
MS_PER_S = 1000


class Callers:
    """The callers of a ``Rig``, a thread each.

    Args:
        rig: The ``Rig``.
        extras: Share of jobs with gangs, copies, or occurrences, each,
            besides those that the sheet's classes have.

    Attributes:
        statuses: A counter of the answers to submissions.
    """

    def __init__(self, *, rig, extras=0.0):
        self.statuses = rig.statuses
        self.extras = extras
        self._rig = rig
        self._troubles = {}
        self._accepted = threading.Condition()
        self._newest = None

    def set_trouble(self, what, share, seconds):
        """Treat a share of the jobs in a way for some seconds.

        Args:
            what: ``answers lost``: an acceptance doesn't arrive, and the same
                request is sent again; ``burst``: the next one comes sooner;
                ``cancel``; ``twice``: the same request comes once more, at
                once or seconds later.
            share: Share of the jobs of any class.
            seconds: How long.
        """
        self._troubles[what] = (share, time.monotonic() + seconds)

    def draw(self, what, choices, usual=0.0):
        """Return whether to treat a job so."""
        share, until = self._troubles.get(what, (0.0, 0.0))
        if time.monotonic() >= until:
            share = 0.0
        return choices.random() < max(share, usual)

    def await_accepted(self, timeout):
        """Return (entry, path, body) of the next accepted job, or None."""
        with self._accepted:
            self._newest = None
            self._accepted.wait_for(lambda: self._newest is not None, timeout)
            return self._newest

    def choose_entry(self, choices, without=None):
        """Return the machine of an entry."""
        names = [h.name for h in self._rig._list('entry')]
        return choices.choice([n for n in names if n != without])

    def post(self, name, path, body):
        """Submit a job once, at an entry; return the status."""
        address = self._rig.find_address(name, 'frontend')
        self._note('sent', path, body, name)
        status, _ = call(address, 'POST', path, CALL_TIMEOUT_S, body)
        self.statuses[status] += 1
        if status == 200:
            self._note('accepted', path, body, name)
            with self._accepted:
                self._newest = (name, path, body)
                self._accepted.notify_all()
        return status

    def _note(self, what, path, body=None, name=''):
        row = {'at': time.monotonic(), 'wall': time.time(), 'what': what}
        row.update(job=path.rpartition('/')[2], entry=name)
        row['copied'] = [
            number
            for number, step in enumerate((body or {}).get('steps', ()))
            if step.get('speculative')
        ]
        with open(self._rig.folder / 'jobs.jsonl', 'a') as file:
            file.write(json.dumps(row) + '\n')

    def submit(self, path, body, choices):
        """Submit a job until it is accepted or rejected for good.

        Returns:
            The status of the last answer that the caller got.
        """
        status = None
        for _ in range(ATTEMPTS):
            name = self.choose_entry(choices)
            status = self.post(name, path, body)
            if status == 200 and self.draw('answers lost', choices):
                status = 'lost'
                continue
            if status in (200, 429, 404):
                break
            time.sleep(RETRY_INTERVAL_S)
        return status

    def post_aside(self, path, body, choices, without=None):
        """Submit a job once, at another entry, without waiting for it."""
        name = self.choose_entry(choices, without)
        threading.Thread(
            target=self.post, args=(name, path, body), daemon=True
        ).start()

    def build(self, choices):
        """Return (class, path, body) of a job of one of the classes."""
        sheet = self._rig.sheet
        mix = sheet['traffic'][0]['mix']
        weights = [mix.get(row['name'], 0.05) for row in sheet['classes']]
        (row,) = choices.choices(sheet['classes'], weights=weights)
        path = f'/{row["name"]}/{choices.getrandbits(64):016x}'
        return row, path, build_job(row, choices, self.extras)

    def call_for(self, number, seconds):
        """Submit jobs, ask for them, and cancel some."""
        choices = random.Random(self._rig.random.random() + number)
        _Caller(callers=self, choices=choices).run(seconds)

    def ask(self, path, choices):
        """Return whether the job was shown to have ended."""
        name = self.choose_entry(choices)
        address = self._rig.find_address(name, 'frontend')
        status, body = call(address, 'GET', path, CALL_TIMEOUT_S)
        state = json.loads(body)['state'] if status == 200 else status
        if state == 'completed':
            self._note('completed', path, name=name)
        return state in ('completed', 'failed', 'cancelled', 410)

    def cancel(self, path, choices):
        """Cancel a job once."""
        name = self.choose_entry(choices)
        address = self._rig.find_address(name, 'frontend')
        self._note('cancel', path, name=name)
        status, _ = call(address, 'DELETE', path, CALL_TIMEOUT_S)
        if status in (200, 410):
            self._note('cancelled', path, name=name)


class _Caller:
    """A caller and what it has to do.

    Args:
        callers: The ``Callers``.
        choices: Source of random choices.
    """

    def __init__(self, *, callers, choices):
        self._callers = callers
        self._choices = choices
        self._due = []
        self._order = itertools.count()

    def run(self, seconds):
        """Submit jobs and follow them up; cancel those that last."""
        end = time.monotonic() + seconds
        self._plan(0, self._submit)
        while time.monotonic() < end:
            while self._due and self._due[0][0] <= time.monotonic():
                _, _, action, args = heapq.heappop(self._due)
                action(*args)
            time.sleep(CHECK_INTERVAL_S)
        for _, _, action, args in self._due:
            if action == self._callers.cancel:
                action(*args)

    def _plan(self, delay_s, action, *args):
        at = time.monotonic() + delay_s
        heapq.heappush(self._due, (at, next(self._order), action, args))

    def _submit(self):
        choices, callers = self._choices, self._callers
        row, path, body = callers.build(choices)
        usual = row['jobs'].get('twice', 0.0)
        if callers.draw('twice', choices, usual / 2):
            callers.post_aside(path, body, choices)
        status = callers.submit(path, body, choices)
        if status in (200, 'lost'):
            if callers.draw('twice', choices, usual):
                delay_s = choices.uniform(*AGAIN_RANGE_S)
                self._plan(delay_s, callers.post_aside, path, body, choices)
            self._follow_up(row['jobs'], path)
        rate = BURST_FACTOR if callers.draw('burst', choices) else 1.0
        pause_s = choices.expovariate(rate / MEAN_PAUSE_S)
        self._plan(pause_s, self._submit)

    def _follow_up(self, jobs, path):
        choices, callers = self._choices, self._callers
        delay_s = choices.uniform(*ASK_RANGE_S)
        self._plan(delay_s, self._ask, path, MAX_QUESTIONS)
        delay_s = None
        if jobs.get('lasts'):
            delay_s = choices.uniform(*STAY_RANGE_S)
        elif callers.draw('cancel', choices, jobs.get('cancel', 0.0)):
            delay_s = choices.uniform(*CANCEL_RANGE_S)
        if delay_s is not None:
            self._plan(delay_s, callers.cancel, path, choices)

    def _ask(self, path, questions):
        if not self._callers.ask(path, self._choices) and questions:
            delay_s = self._choices.uniform(*ASK_RANGE_S)
            self._plan(delay_s, self._ask, path, questions - 1)


def build_job(row, choices, extras=0.0):
    """Return a job of a class of the sheet.

    Args:
        row: The class.
        choices: Source of random choices.
        extras: Share of jobs with gangs, copies, or occurrences, each,
            besides those that the class has.
    """
    jobs = row['jobs']
    lasts = jobs.get('lasts', False)

    def draw(kind):
        mean = jobs[kind]['mean']
        return max(1, round(min(choices.gauss(mean, mean / 3), 2 * mean)))

    def has(kind, usual=0.0):
        return choices.random() < max(jobs.get(kind, 0.0), usual)

    extras = 0.0 if lasts else extras
    work_s = row['work_ms']['mean'] / MS_PER_S * choices.uniform(0.3, 2.5)
    saves, copied, gang = has('saves'), has('copies', extras), 0
    if has('gang', extras):
        gang, copied = choices.randint(*GANG_RANGE), False
    spec = [] if lasts else [f'runs {work_s:.2f} s']
    spec += [f'{gang} together'] if gang else []
    spec += ['saves'] if saves else []
    failing = row.get('error_share', 0.0)
    failing = 1.0 if choices.random() < row.get('poison', 0.0) else failing
    spec += [f'fails {failing}'] if failing else []
    steps = []
    for number in range(1 if gang or lasts else draw('steps')):
        width = draw('width')
        step = {
            'task_count': gang
            or (min(width, MAX_COPIED_TASKS) if copied else width),
            'cpu': draw('cpu'),
            'mem_mb': draw('mem_mb'),
            'estimate_ms': int(work_s * MS_PER_S),
            'after': [number - 1] if number else [],
            'gang': bool(gang),
            'speculative': copied,
            'saves_progress': saves,
            'long_running': lasts,
            'anti_affinity': 2 if has('apart') else 0,
        }
        if 'shares' in jobs:
            step['image'] = f'm-{choices.randrange(jobs["shares"]["images"])}'
            step['fill_count'] = jobs['shares'].get('fills', False)
        steps.append({name: value for name, value in step.items() if value})
    job = {'spec': ', '.join(spec), 'steps': steps}
    if has('timed', extras):
        job['start_at_ms'] = int(time.time() * MS_PER_S) + START_DELAY_MS
        job['interval_ms'] = choices.randint(*INTERVAL_RANGE_MS)
        job['repeat_count'] = choices.randint(*OCCURRENCES_RANGE)
    return job


def call(address, method, path, timeout, body=None):
    """Send a request; return (status or name of an error, body)."""
    host, _, port = address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(
            method,
            path,
            None if body is None else json.dumps(body),
            {
                'Content-Type': 'application/json',
                'Host': HOST,
                'X-Deadline-Ms': '3000',
            },
        )
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, ''
    finally:
        connection.close()

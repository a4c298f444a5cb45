"""Stand-in of a worker whose tasks are members of gangs.

A spec is the time in seconds that the gang works, and its number of members.
Members work only together, from the moment when all tasks of one run are
present, and all must carry the same checkpoint: those that go on from another
value are no part of that gang. Members find each other by files in a folder.
"""

import os
import pathlib
import time

import worker_2 as worker

ALONE_S = 3.0
SAVE_S = 2.0
RESTORE_S = 0.1
# Time after which a member takes note of another one's end.
NOTICE_S = 0.1
MS_PER_S = 1000
DONE = 'done'


class GangWorker(worker.Worker):
    """Runs members of gangs."""

    def find_end(self, task, run, now):
        """Return how a member ends now, or an empty string."""
        if now >= run['stops_at']:
            return 'stopped'
        path = self._find_path(task, run)
        if 'is_present' not in run:
            path.parent.mkdir(parents=True, exist_ok=True)
            draft = path.with_name(f'{path.name}.new')
            draft.write_text(f'{os.getpid()} {run["given"]}')
            draft.replace(path)
            run['is_present'] = True
        if (path.parent / DONE).exists():
            return 'done'
        if now < run.get('looks_at', 0.0):
            return ''
        run['looks_at'] = now + NOTICE_S
        members = _list_members(path.parent)
        if 'together_at' not in run:
            return self._await_members(task, run, members, now)
        if len(members) < self._count_members(run):
            # The last member may have ended as done meanwhile.
            return 'done' if (path.parent / DONE).exists() else 'broken'
        if self._find_progress_s(run, now) < run['work_s']:
            return ''
        (path.parent / DONE).touch()
        return 'done'

    def _await_members(self, task, run, members, now):
        if len(members) == self._count_members(run) and len(set(members)) == 1:
            run['together_at'] = now
            self.record('together', task=task, run=run['run'])
        return 'alone' if now - run['began_at'] > ALONE_S else ''

    def _find_path(self, task, run):
        step, _, index = task.rpartition('.')
        return pathlib.Path(self.args.folder) / f'{step}.{run["run"]}' / index

    def _count_members(self, run):
        return int(run['spec'].split()[1])

    def _find_progress_s(self, run, now):
        progress_s = int(run['given'] or '0', 16) / MS_PER_S
        if 'together_at' in run:
            restore_s = RESTORE_S if run['given'] else 0.0
            progress_s += max(0.0, now - run['together_at'] - restore_s)
        return progress_s

    def find_saved(self, run):
        """Return the newest checkpoint: one for each interval of work."""
        progress_s = self._find_progress_s(run, time.monotonic())
        progress_s -= progress_s % SAVE_S
        return f'{int(progress_s * MS_PER_S):08x}' if progress_s else ''

    def _end(self, task, how):
        path = self._find_path(task, self._runs[task])
        super()._end(task, how)
        path.unlink(missing_ok=True)


def _list_members(folder):
    """Return the checkpoints that the present members carry."""
    found = []
    for path in folder.iterdir():
        if not path.name.isdigit():
            continue
        try:
            number, _, checkpoint = path.read_text().partition(' ')
            # Fails if the process of that worker has crashed.
            os.kill(int(number), 0)
        except OSError:
            continue
        found.append(checkpoint)
    return found


if __name__ == '__main__':
    worker.main(GangWorker)

"""Faults that a large sheet has: jobs handed in twice, disks, evacuations.

Each function returns once its fault has ended.
"""

import json
import shutil
import signal
import threading
import time

from soak import rig_callers
from soak import rig_faults
from soak import rig_machine_faults

__all__ = []

ORDER_TIMEOUT_S = 5.0
ORDER_INTERVAL_S = 0.3
ACCEPT_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.005
EVACUATION_RANGE_S = (3.0, 10.0)
DOWN_RANGE_S = (0.3, 9.5)
WIPED_RANGE_S = (0.5, 3.0)
TROUBLE_RANGE_S = (4.0, 8.0)
JOBS_AT_ONCE = 6
LEAVING = 3
# About the lease of an agent.
LAPSE_RANGE_S = (4.2, 6.2)
FLAPS = 3
FLAP_INTERVAL_S = 1.4

register = rig_faults.register


def _order(rig, random, path):
    """Send an order of the operator until it is acknowledged."""
    end = time.monotonic() + ORDER_TIMEOUT_S
    while time.monotonic() < end:
        keys = rig.list_keys('control')
        if keys:
            name = random.choice(keys)[0]
            address = rig.find_address(name, 'control')
            status, _ = rig_callers.call(address, 'POST', path, 1)
            rig.note_call(name, path, {}, status)
            if status == 200:
                return
        time.sleep(ORDER_INTERVAL_S)


def _evacuate(rig, random, disturb=None):
    zone = random.choice(sorted({h.zone for h in rig.hosts.values()}))
    _order(rig, random, f'/Evacuation.Start/{zone}')
    try:
        if disturb is not None:
            disturb(rig, random)
        time.sleep(random.uniform(*EVACUATION_RANGE_S))
    finally:
        _order(rig, random, f'/Evacuation.End/{zone}')


@register('evacuate')
def evacuate(rig, random):
    """A zone is evacuated for some seconds."""
    _evacuate(rig, random)


@register('evacuate, leader killed')
def evacuate_without_leader(rig, random):
    """A zone is evacuated, and the leader killed just after that."""
    _evacuate(rig, random, rig_faults.kill_leader)


@register('evacuate, agents frozen')
def evacuate_beside_frozen(rig, random):
    """A zone is evacuated while some agents are stopped."""
    _evacuate(rig, random, rig_faults.freeze_side)


def _trouble(rig, random, what, share):
    seconds = random.uniform(*TROUBLE_RANGE_S)
    rig.callers.set_trouble(what, share, seconds)
    time.sleep(seconds)


@register('acceptances lost')
def lose_acceptances(rig, random):
    """Answers to submissions are lost; the jobs are sent to other entries."""
    _trouble(rig, random, 'answers lost', 0.6)


@register('jobs twice')
def repeat_jobs(rig, random):
    """Most jobs are submitted twice, at once or seconds later."""
    _trouble(rig, random, 'twice', 0.8)


@register('burst')
def send_burst(rig, random):
    """Callers submit jobs more often."""
    _trouble(rig, random, 'burst', 1.0)


@register('cancellations')
def cancel_jobs(rig, random):
    """Callers cancel a share of their jobs."""
    _trouble(rig, random, 'cancel', random.choice([0.35, 0.8]))


def _submit_at_once(rig, random, disturb):
    """Submit jobs at two entries at once, and again, beside a disturbance.

    Args:
        rig: The ``Rig``.
        random: Source of random choices.
        disturb: Function of an entry that has such a job.
    """
    callers = rig.callers
    jobs = []
    for _ in range(JOBS_AT_ONCE):
        _, path, body = callers.build(random)
        name = callers.choose_entry(random)
        jobs.append((name, path, body))
        threading.Thread(
            target=callers.post, args=(name, path, body), daemon=True
        ).start()
        callers.post_aside(path, body, random, without=name)
    time.sleep(random.choice([0.0, 0.02, 0.1, 0.5]))
    disturbance = threading.Thread(target=disturb, args=(jobs[-1][0],))
    disturbance.start()
    for delay_s in (0.1, 1.0, 3.0):
        time.sleep(random.uniform(0.0, delay_s))
        for name, path, body in jobs:
            callers.post_aside(path, body, random, without=name)
    disturbance.join()


def _stop_and_go(rig, random, key, *, freezes):
    if key is None:
        return
    seconds = random.uniform(0.3, 4.0)
    if freezes:
        rig_faults._freeze(rig, [key], seconds)
    else:
        rig.kill(key)
        rig_faults._restart(rig, key, seconds)


def _find_leader_key(rig):
    name = rig.find_leader()
    return (name, 'control') if name else None


def _register_twice(who, freezes):
    how = 'frozen' if freezes else 'killed'

    @register(f'jobs twice, {who} {how}')
    def submit_twice(rig, random):
        def disturb(name):
            key = (name, 'entry')
            if who == 'leader':
                key = _find_leader_key(rig)
            _stop_and_go(rig, random, key, freezes=freezes)

        _submit_at_once(rig, random, disturb)

    submit_twice.__doc__ = f'Jobs are submitted twice while the {who} is {how}'


for _who in ('entry', 'leader'):
    for _freezes in (False, True):
        _register_twice(_who, _freezes)


def _drain(rig, random, disturb):
    """Let workers leave, beside a disturbance of the leader."""
    threads = []
    for name in rig_faults.choose_workers(rig, random, 1)[:LEAVING]:
        how = random.choice(['open', 'closed', 'cut'])
        linger_s = random.choice([0.2, 1.5, 4.0])
        threads.append(
            threading.Thread(
                target=_replace_leaving,
                args=(rig, random, name, how, linger_s),
            )
        )
    for thread in threads:
        thread.start()
    disturb()
    for thread in threads:
        thread.join()


def _replace_leaving(rig, random, name, how, linger_s):
    rig_faults.leave(rig, random, name, how, linger_s)
    time.sleep(random.uniform(0.0, 2.0))
    rig.start_worker(name)


@register('leader killed, race drain')
def race_drain(rig, random):
    """The leader is killed just after workers have begun to drain."""

    def disturb():
        key = _find_leader_key(rig)
        time.sleep(random.uniform(0.0, 1.0))
        _stop_and_go(rig, random, key, freezes=random.random() < 0.3)

    _drain(rig, random, disturb)


@register('leader killed, meet drain')
def meet_drain(rig, random):
    """Workers drain while the leader is down; it is back as they end."""
    key = _find_leader_key(rig)
    if key is None:
        return
    rig.kill(key)
    time.sleep(random.uniform(0.0, 0.6))
    _drain(
        rig,
        random,
        lambda: rig_faults._restart(rig, key, random.uniform(0.5, 5.0)),
    )


@rig_machine_faults._register_link_kind('leader cut, race drain')
def cut_leader_beside_drain(rig, random):
    """The leader is cut off just after workers have begun to drain."""

    def disturb():
        key = _find_leader_key(rig)
        time.sleep(random.uniform(0.0, 1.0))
        if key is not None:
            rig_machine_faults._cut_for(rig, random, key)

    _drain(rig, random, disturb)


def _list_zone(rig, random):
    zone = random.choice(sorted({h.zone for h in rig.hosts.values()}))
    keys = rig.list_keys('entry', 'control', 'agent', 'worker')
    return [key for key in keys if rig.hosts[key[0]].zone == zone]


@register('zone frozen')
def freeze_zone(rig, random):
    """All processes of a zone are stopped for some seconds."""
    rig_faults._freeze(rig, _list_zone(rig, random), random.uniform(0.5, 8.0))


@register('zone killed')
def kill_zone(rig, random):
    """All processes of a zone are killed and start again."""
    keys = _list_zone(rig, random)
    for key in keys:
        rig.kill(key)
    time.sleep(random.uniform(*DOWN_RANGE_S))
    for name, role in keys:
        if role == 'worker':
            rig.start_worker(name, same_id=random.random() < 0.3)
        else:
            rig.start(name, role)


@register('core power')
def cut_core_power(rig, random):
    """All instances with a disk are killed, at times all agents as well."""
    keys = [(name, 'control') for name in rig_machine_faults._list_core(rig)]
    if random.random() < 0.3:
        keys += rig.list_keys('agent')
    for key in keys:
        rig.kill(key)
    time.sleep(random.uniform(*DOWN_RANGE_S))
    for key in keys:
        rig.start(*key)


def _wait_for_end(rig, random):
    """Wait until an end of a run is acknowledged."""
    names = rig_faults.choose_workers(rig, random, 0)
    path = rig.folder / f'{names[0]}.events' if names else None
    if path is None or not path.exists():
        return
    with open(path) as file:
        file.seek(0, 2)
        end = time.monotonic() + ACCEPT_TIMEOUT_S
        while time.monotonic() < end:
            line = file.readline()
            if line.endswith('\n') and json.loads(line)['what'] == 'acked':
                return
            time.sleep(0 if line else POLL_INTERVAL_S)


# What is acknowledged just before disks are lost.
ACKNOWLEDGED = {
    'a job': lambda rig, random: rig.callers.await_accepted(ACCEPT_TIMEOUT_S),
    'a configuration': lambda rig, random: rig.replace(),
    'an end': _wait_for_end,
}


def _list_voters(rig, leader):
    """Return the machines of the quorum, as the leader logged them last."""
    names = {
        rig.find_address(host.name, 'internal'): host.name
        for host in rig.hosts.values()
    }
    members = []
    with open(rig.folder / f'{leader}-control.log') as file:
        for line in file:
            if '"members": ["' in line and line.endswith('}\n'):
                members = json.loads(line)['members']
    return [names[m] for m in members if m in names]


def _choose_lost(rig, random, core, leader, how):
    """Return (machines that lose their disks, those to stop before that).

    Those that are stopped don't have what is acknowledged meanwhile, so that
    the fewest disks have it.
    """
    count = random.randint(1, rig.tolerated)
    held = []
    if how == 'aimed':
        voters = [n for n in _list_voters(rig, leader) if n in core]
        if len(voters) > 2 * rig.tolerated:
            count = rig.tolerated
            held = random.sample([v for v in voters if v != leader], count)
            core = [name for name in voters if name not in held]
    lost = random.sample(core, count)
    if leader not in lost and random.random() < 0.7:
        lost[0] = leader
    return lost, held


def _wipe(rig, random, await_acknowledgement, how):
    if not rig.core_lock.acquire(blocking=False):
        return
    try:
        core = rig_machine_faults._list_core(rig)
        leader = rig.find_leader()
        if len(core) < len(rig.seeds) or leader not in core:
            return
        lost, held = _choose_lost(rig, random, core, leader, how)
        for name in held:
            rig.signal((name, 'control'), signal.SIGSTOP)
        accepted = await_acknowledgement(rig, random)
        killed = core if how else lost
        with rig.lock:
            for name in killed:
                rig.kill((name, 'control'))
            for name in lost:
                folder = rig.folder / f'{name}.data'
                shutil.rmtree(folder, ignore_errors=True)
        fields = {'lost': lost, 'held': held, 'killed': killed}
        rig.note_call('rig', 'wipe', fields, str(accepted)[:40])
        if isinstance(accepted, tuple):
            rig.callers.post_aside(*accepted[1:], random, without=accepted[0])
        time.sleep(random.uniform(*WIPED_RANGE_S))
        for name in random.sample(killed, len(killed)):
            rig.start(name, 'control')
        for name in lost:
            rig_machine_faults._wait_for_core(rig, name, catch_up_s=0)
        time.sleep(rig.sheet['timing'].get('catch_up_s', 0.0))
    finally:
        rig.core_lock.release()


# What else happens then.
WIPES = {
    '': '',
    'others killed': ', others killed',
    'aimed': ', others killed, on as few disks as possible',
}


def _register_wipe(what, how):
    suffix = WIPES[how]

    @register(f'wipe after {what}' + (f', {how}' if how else ''))
    def wipe(rig, random):
        _wipe(rig, random, ACKNOWLEDGED[what], how)

    wipe.__doc__ = f'Disks are lost just after {what} was acknowledged{suffix}'


for _what in ACKNOWLEDGED:
    for _how in WIPES:
        _register_wipe(_what, _how)


def _play_start_mode(rig, random, mode):
    seconds = random.uniform(*TROUBLE_RANGE_S)
    for name in rig_faults.choose_workers(rig, random, 0.3):
        rig.write_mode(name, mode, random.choice([0.45, 1.0]), seconds)
    time.sleep(seconds)


@register('starts shed')
def shed_starts(rig, random):
    """Some workers reject starts."""
    _play_start_mode(rig, random, 'shed')


@register('starts fail')
def fail_starts(rig, random):
    """Runs fail soon after their start on some workers."""
    _play_start_mode(rig, random, 'fail')


@register('flap')
def flap(rig, random):
    """Workers go down and up by turns."""
    names = rig_faults.choose_workers(rig, random, 0.1)
    for _ in range(FLAPS):
        for name in names:
            rig.kill((name, 'worker'))
        time.sleep(FLAP_INTERVAL_S)
        for name in names:
            rig.start_worker(name, same_id=random.random() < 0.3)
        time.sleep(FLAP_INTERVAL_S)


@register('reborn, unhealthy')
def crash_and_refuse(rig, random):
    """Workers start again under their ids and refuse calls at first."""
    names = rig_faults.choose_workers(rig, random, 0.2)
    for name in names:
        rig.kill((name, 'worker'))
    time.sleep(random.uniform(0.0, 0.5))
    for name in names:
        rig.start_worker(name, same_id=True)
        share, seconds = random.choice([0.45, 0.8]), random.uniform(1.0, 4.0)
        rig.write_mode(name, 'busy', share, seconds)
    time.sleep(random.uniform(2.0, 5.0))


@register('reborn, connections closed')
def crash_and_close(rig, random):
    """Workers close connections after answers and start again meanwhile."""
    names = rig_faults.choose_workers(rig, random, 0.4)
    share, seconds = random.choice([0.5, 1.0]), random.uniform(3.0, 8.0)
    for name in names:
        rig.write_mode(name, 'close', share, seconds)
    time.sleep(random.uniform(0.5, 2.0))
    for name in names[::2]:
        rig.kill((name, 'worker'))
        rig.start_worker(name, same_id=True)
        rig.write_mode(name, 'close', share, seconds)
    time.sleep(seconds)


@register('lapse, leader changes')
def change_leader_at_lapse(rig, random):
    """Agents are stopped for about a lease; the leader ends as they go on."""
    key = _find_leader_key(rig)
    keys = rig.list_keys('agent')
    if key is None or not keys:
        return
    keys = random.sample(keys, max(1, len(keys) // 3))
    for agent in keys:
        rig.signal(agent, signal.SIGSTOP)
    time.sleep(random.uniform(*LAPSE_RANGE_S))
    freezes = random.random() < 0.5
    if freezes:
        rig.signal(key, signal.SIGSTOP)
    else:
        rig.kill(key)
    time.sleep(random.uniform(0.0, 0.3))
    for agent in keys:
        rig.signal(agent, signal.SIGCONT)
    time.sleep(random.uniform(0.3, 4.0))
    if freezes:
        rig.signal(key, signal.SIGCONT)
    else:
        rig.start(*key)


@register('freeze leader, agents killed')
def freeze_leader_kill_agents(rig, random):
    """The leader is stopped; agents are killed and start again meanwhile."""
    key = _find_leader_key(rig)
    if key is None:
        return
    rig.signal(key, signal.SIGSTOP)
    keys = rig.list_keys('agent')
    for agent in random.sample(keys, max(1, len(keys) // 4)):
        rig.kill(agent)
        rig_faults._restart(rig, agent, random.uniform(0.0, 0.5))
    time.sleep(random.uniform(0.5, 4.0))
    rig.signal(key, signal.SIGCONT)

"""Projects measured slopes to the target size, as the tables of a page.

``python -m bench.projection`` reads ``bench/latest.json`` and prints the
tables of docs/CAPACITY.md. It measures nothing itself.
"""

import json
import pathlib

from bench import __main__ as runner

__all__ = ['list_lines', 'main']

WORKERS = 6_800
TASKS = 140_000
STARTS_A_SECOND = 1_800
CHANGES_A_DAY = 3_500
REGIONS = 7
TICKS_A_SECOND = 10
ENTRIES_A_REGION = 4
JOBS_AN_INSTANCE = TASKS / WORKERS
LARGEST_SHARE = 0.25
MIB = 1024 * 1024
KIB = 1024


class Figures:
    """Measured figures by key; a missing one reads as not measured."""

    def __init__(self, values):
        self._values = values

    def get(self, key):
        """Return the figure, or None."""
        return self._values.get(key)

    def scale(self, key, amount, base_key=None):
        """Return slope times ``amount`` plus the base, or None."""
        slope = self.get(key)
        if slope is None:
            return None
        return slope * amount + (self.get(base_key) or 0.0 if base_key else 0)


def _show(value, digits=1):
    return 'not measured' if value is None else f'{value:,.{digits}f}'


def _row(what, values, unit):
    cells = ' | '.join(_show(value) for value in values)
    return f'| {what} | {cells} | {unit} |'


def list_lines(figures):
    """Return the lines of the tables.

    Args:
        figures: ``Figures`` of one bench run.
    """
    return [
        *_list_slopes(figures),
        '',
        *_list_leader(figures),
        '',
        *_list_entry(figures),
        '',
        *_list_agent(figures),
    ]


def _list_slopes(figures):
    lines = ['| slope | value | base | spread |', '|---|---|---|---|']
    names = (
        'capacity.heartbeat_cpu_us',
        'capacity.heartbeat_bytes_per_job',
        'capacity.heartbeat_reply_bytes_per_order',
        'capacity.sync_cpu_us_per_view',
        'capacity.sync_bytes_per_view',
        'capacity.state_memory_bytes_per_job',
        'capacity.snapshot_bytes_per_job',
        'capacity.snapshot_cpu_us_per_job',
        'capacity.log_bytes_per_job',
        'capacity.job_cpu_us',
        'capacity.change_cpu_us',
        'capacity.change_log_bytes',
        'capacity.node_list_cpu_us',
    )
    for name in names:
        values = (figures.get(f'{name}.{part}') for part in _PARTS)
        lines.append(f'| {name} | ' + ' | '.join(map(_cell, values)) + ' |')
    return lines


_PARTS = ('slope', 'base', 'spread')


def _cell(value):
    return 'not measured' if value is None else f'{value:,}'


def _list_leader(figures):
    """The leader, at the whole fleet, a quarter and a seventh of it."""
    shares = (1.0, LARGEST_SHARE, 1 / REGIONS)
    heartbeat = 'relay.leader.cpu_ms_per_heartbeat'
    lines = [
        '| leader of a cell with | all | a quarter | a seventh | unit |',
        '|---|---|---|---|---|',
        _row('instances', [WORKERS * s for s in shares], ''),
        _row(
            'heartbeats',
            [figures.scale(heartbeat, WORKERS * s / 10) for s in shares],
            '% of a core',
        ),
        _row(
            'committing and applying the starts at the peak',
            [
                figures.scale(
                    'leader_cpu_per_whole_job_us', STARTS_A_SECOND * s / 1e4
                )
                for s in shares
            ],
            '% of a core',
        ),
        _row(
            'deciding those starts',
            [
                figures.scale(
                    'placement.decision_us_per_start',
                    STARTS_A_SECOND * s / 1e4,
                )
                for s in shares
            ],
            '% of a core',
        ),
        _row(
            'ticks, ten a second, by the slope',
            [
                figures.scale(
                    'placement.tick_us_per_instance',
                    WORKERS * s * TICKS_A_SECOND / 1e4,
                )
                for s in shares
            ],
            '% of a core',
        ),
        _row(
            'tables in memory',
            [
                figures.scale(
                    'capacity.state_memory_bytes_per_job.slope',
                    TASKS * s / MIB,
                )
                for s in shares
            ],
            'MB',
        ),
        _row(
            'snapshot',
            [
                figures.scale(
                    'capacity.snapshot_bytes_per_job.slope', TASKS * s / MIB
                )
                for s in shares
            ],
            'MB',
        ),
        _row(
            'snapshot, processor time',
            [
                figures.scale(
                    'capacity.snapshot_cpu_us_per_job.slope', TASKS * s / 1e3
                )
                for s in shares
            ],
            'ms',
        ),
        _row(
            'log of the starts at the peak',
            [
                figures.scale(
                    'capacity.log_bytes_per_job.slope',
                    STARTS_A_SECOND * s / KIB,
                )
                for s in shares
            ],
            'KB a second',
        ),
        _row(
            'log of the changes',
            [
                figures.scale(
                    'capacity.change_log_bytes.slope', CHANGES_A_DAY * s / KIB
                )
                for s in shares
            ],
            'KB a day',
        ),
    ]
    return lines


def _list_entry(figures):
    beats = WORKERS / REGIONS / ENTRIES_A_REGION
    heartbeat = 'relay.entry.cpu_ms_per_heartbeat'
    views = 'capacity.sync_bytes_per_view.slope'
    request = figures.get('entry_cpu_us_per_request')
    return [
        '| entry, four in a region of a seventh | value | unit |',
        '|---|---|---|',
        _row('heartbeats relayed', [beats], 'a second'),
        _row(
            'their processor time',
            [figures.scale(heartbeat, beats / 10)],
            '% of a core',
        ),
        _row(
            'first sync',
            [figures.scale(views, WORKERS / REGIONS / KIB)],
            'KB',
        ),
        _row(
            'sync, each instance changed each second',
            [figures.scale(views, WORKERS / REGIONS / KIB)],
            'KB a second, at most',
        ),
        _row('a request', [request], 'us of processor time'),
        _row('resident', [figures.get('fleet.entry.rss_mb_base')], 'MB'),
    ]


def _list_agent(figures):
    jobs = JOBS_AN_INSTANCE
    asked = figures.scale(
        'capacity.heartbeat_bytes_per_job.slope',
        jobs,
        'capacity.heartbeat_bytes_per_job.base',
    )
    return [
        '| agent | value | target | unit |',
        '|---|---|---|---|',
        f'| resident | {_show(figures.get("agent_rss_mb"))} | 32 | MB |',
        f'| anonymous | {_show(figures.get("agent_rss_anon_mb"))} | | MB |',
        f'| processor time, 8 busy slots | '
        f'{_show(figures.get("agent_cpu_percent"), 2)} | 2.3 | % of a core |',
        f'| control traffic | '
        f'{_show(figures.get("agent_bytes_per_second"), 0)} | 9,000 | '
        'bytes a second |',
        f'| heartbeat with {jobs:.0f} jobs | {_show(asked, 0)} | | bytes |',
    ]


def main():
    """Print the tables."""
    path = pathlib.Path(runner.LATEST)
    values = json.loads(path.read_text()) if path.exists() else {}
    print('\n'.join(list_lines(Figures(values))))


if __name__ == '__main__':
    main()

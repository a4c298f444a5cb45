"""Extrapolates measured slopes to the target size.

``python -m bench.projection`` reads ``bench/latest.json`` and prints the
tables of docs/CAPACITY.md. It runs no benchmark itself.
"""

import json
import pathlib

from bench import __main__ as runner

__all__ = ['format_tables', 'main']

INSTANCES = 6_800
TASKS = 140_000
STARTS_PER_SECOND = 1_800
CHANGES_PER_DAY = 3_500
REGIONS = 7
TICKS_PER_SECOND = 10
ENTRIES_PER_REGION = 4
JOBS_PER_INSTANCE = TASKS / INSTANCES
LARGEST_REGION_SHARE = 0.25
MIB = 1024 * 1024
KIB = 1024


class Figures:
    """Benchmark results by key; missing ones print as "not measured"."""

    def __init__(self, values):
        self._values = values

    def get(self, key):
        """Return the result for ``key``; None if it was not measured."""
        return self._values.get(key)

    def scale(self, key, amount, base_key=None):
        """Return slope times ``amount`` plus the base; None if not measured.

        Args:
            key: Key of the slope.
            amount: Size to extrapolate to.
            base_key: Key of the value at size 0; a missing one counts as 0.
        """
        slope = self.get(key)
        if slope is None:
            return None
        return slope * amount + (self.get(base_key) or 0.0 if base_key else 0)


def _format(value, digits=1):
    return 'not measured' if value is None else f'{value:,.{digits}f}'


def _format_row(label, values, unit):
    cells = ' | '.join(_format(value) for value in values)
    return f'| {label} | {cells} | {unit} |'


def format_tables(figures):
    """Return the lines of all Markdown tables.

    Args:
        figures: The ``Figures`` of a benchmark run.
    """
    return [
        *_format_slopes(figures),
        '',
        *_format_leader(figures),
        '',
        *_format_entry(figures),
        '',
        *_format_agent(figures),
    ]


def _format_slopes(figures):
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
        values = (figures.get(f'{name}.{part}') for part in _SLOPE_FIELDS)
        lines.append(
            f'| {name} | ' + ' | '.join(map(_format_exact, values)) + ' |'
        )
    return lines


_SLOPE_FIELDS = ('slope', 'base', 'spread')


def _format_exact(value):
    return 'not measured' if value is None else f'{value:,}'


def _format_leader(figures):
    """Return the leader's cost for a whole, 1/4 and 1/7 of the fleet."""
    shares = (1.0, LARGEST_REGION_SHARE, 1 / REGIONS)
    cpu_per_heartbeat = 'relay.leader.cpu_ms_per_heartbeat'
    lines = [
        '| leader of a cell with | all | a quarter | a seventh | unit |',
        '|---|---|---|---|---|',
        _format_row('instances', [INSTANCES * s for s in shares], ''),
        _format_row(
            'heartbeats',
            [
                figures.scale(cpu_per_heartbeat, INSTANCES * s / 10)
                for s in shares
            ],
            '% of a core',
        ),
        _format_row(
            'committing and applying the starts at the peak',
            [
                figures.scale(
                    'leader_cpu_per_whole_job_us', STARTS_PER_SECOND * s / 1e4
                )
                for s in shares
            ],
            '% of a core',
        ),
        _format_row(
            'deciding those starts',
            [
                figures.scale(
                    'placement.decision_us_per_start',
                    STARTS_PER_SECOND * s / 1e4,
                )
                for s in shares
            ],
            '% of a core',
        ),
        _format_row(
            'ticks, ten a second, by the slope',
            [
                figures.scale(
                    'placement.tick_us_per_instance',
                    INSTANCES * s * TICKS_PER_SECOND / 1e4,
                )
                for s in shares
            ],
            '% of a core',
        ),
        _format_row(
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
        _format_row(
            'snapshot',
            [
                figures.scale(
                    'capacity.snapshot_bytes_per_job.slope', TASKS * s / MIB
                )
                for s in shares
            ],
            'MB',
        ),
        _format_row(
            'snapshot, processor time',
            [
                figures.scale(
                    'capacity.snapshot_cpu_us_per_job.slope', TASKS * s / 1e3
                )
                for s in shares
            ],
            'ms',
        ),
        _format_row(
            'log of the starts at the peak',
            [
                figures.scale(
                    'capacity.log_bytes_per_job.slope',
                    STARTS_PER_SECOND * s / KIB,
                )
                for s in shares
            ],
            'KB a second',
        ),
        _format_row(
            'log of the changes',
            [
                figures.scale(
                    'capacity.change_log_bytes.slope',
                    CHANGES_PER_DAY * s / KIB,
                )
                for s in shares
            ],
            'KB a day',
        ),
    ]
    return lines


def _format_entry(figures):
    heartbeats_per_second = INSTANCES / REGIONS / ENTRIES_PER_REGION
    cpu_per_heartbeat = 'relay.entry.cpu_ms_per_heartbeat'
    bytes_per_view = 'capacity.sync_bytes_per_view.slope'
    request_cpu = figures.get('entry_cpu_us_per_request')
    return [
        '| entry, four in a region of a seventh | value | unit |',
        '|---|---|---|',
        _format_row('heartbeats relayed', [heartbeats_per_second], 'a second'),
        _format_row(
            'their processor time',
            [figures.scale(cpu_per_heartbeat, heartbeats_per_second / 10)],
            '% of a core',
        ),
        _format_row(
            'first sync',
            [figures.scale(bytes_per_view, INSTANCES / REGIONS / KIB)],
            'KB',
        ),
        _format_row(
            'sync, each instance changed each second',
            [figures.scale(bytes_per_view, INSTANCES / REGIONS / KIB)],
            'KB a second, at most',
        ),
        _format_row('a request', [request_cpu], 'us of processor time'),
        _format_row(
            'resident', [figures.get('fleet.entry.rss_mb_base')], 'MB'
        ),
    ]


def _format_agent(figures):
    jobs = JOBS_PER_INSTANCE
    heartbeat_bytes = figures.scale(
        'capacity.heartbeat_bytes_per_job.slope',
        jobs,
        'capacity.heartbeat_bytes_per_job.base',
    )
    return [
        '| agent | value | target | unit |',
        '|---|---|---|---|',
        f'| resident | {_format(figures.get("agent_rss_mb"))} | 32 | MB |',
        f'| anonymous | {_format(figures.get("agent_rss_anon_mb"))} | | MB |',
        f'| processor time, 8 busy slots | '
        f'{_format(figures.get("agent_cpu_percent"), 2)} | 2.3 | '
        '% of a core |',
        f'| control traffic | '
        f'{_format(figures.get("agent_bytes_per_second"), 0)} | 9,000 | '
        'bytes a second |',
        f'| heartbeat with {jobs:.0f} jobs | '
        f'{_format(heartbeat_bytes, 0)} | | bytes |',
    ]


def main():
    """Print the tables for the latest results."""
    path = pathlib.Path(runner.LATEST)
    values = json.loads(path.read_text()) if path.exists() else {}
    print('\n'.join(format_tables(Figures(values))))


if __name__ == '__main__':
    main()

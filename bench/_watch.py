"""CPU time and memory of other processes, read from /proc."""

import dataclasses
import os
import pathlib

__all__ = ['ProcessStats', 'read_process']

KIB = 1024
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
UTIME_FIELD = 11


@dataclasses.dataclass(kw_only=True, frozen=True, slots=True)
class ProcessStats:
    """Resource use of a process at one point in time.

    Attributes:
        rss_mb: Resident memory in MiB, including file-backed pages.
        anon_mb: Anonymous resident memory in MiB.
        cpu_seconds: CPU time used since the process started.
        threads: Number of threads.
    """

    rss_mb: float
    anon_mb: float
    cpu_seconds: float
    threads: int


def read_process(pid):
    """Return the ``ProcessStats`` of process ``pid``."""
    process_dir = pathlib.Path('/proc') / str(pid)
    status = dict(
        line.split(':', 1)
        for line in (process_dir / 'status').read_text().splitlines()
    )
    fields = (process_dir / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ProcessStats(
        rss_mb=_read_mb(status['VmRSS']),
        anon_mb=_read_mb(status['RssAnon']),
        cpu_seconds=ticks / CLOCK_TICKS_PER_SECOND,
        threads=int(status['Threads']),
    )


def _read_mb(text):
    return int(text.split()[0]) / KIB

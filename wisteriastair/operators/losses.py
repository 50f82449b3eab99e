"""The losses command: report from logs which requests are lost, when and why.

A request is lost if its response is late, refused, failed or broken off.  Log lines of
any number of processes are read in any order, but the lines of one process must be in
the order in which it wrote them.  Lines are counted and not stored.
"""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from ..options import BadSetting
from .losscount import LossStats
from .losstables import encode_json, format_text
from .trace import EXIT_UNREADABLE_FILE

EXIT_LOST_REQUESTS: Final = 1
EXIT_INVALID_SETTING: Final = 2
STDIN_FD: Final = 0
# Resolution of log times; shorter intervals of the table by time are meaningless.
MIN_INTERVAL_S: Final = 0.001
# Time between progress messages.
PROGRESS_INTERVAL_S: Final = 5.0
# Reading the clock for each line is slow; this many lines take about 10 ms.
LINES_PER_CLOCK_READ: Final = 1024


def parse_target_latencies(text: str) -> dict[str, float] | BadSetting:
    """Parse a comma-separated list of ROUTE=SECONDS."""
    target_latencies: dict[str, float] = {}
    for item in text.split(",") if text else []:
        route, _, seconds = item.rpartition("=")
        try:
            target_latency_s = float(seconds)
        except ValueError:
            target_latency_s = math.nan
        if not route or not 0 < target_latency_s < math.inf:
            return BadSetting("aim", item, "ROUTE=SECONDS with seconds above 0")
        if route in target_latencies:
            return BadSetting("aim", item, "one aim for each route")
        target_latencies[route] = target_latency_s
    return target_latencies


def count_losses(
    raw_lines: Iterable[str],
    target_latencies: dict[str, float],
    interval_s: float,
    clock: Callable[[], float] = time.monotonic,
) -> LossStats:
    """Count log lines, and report progress on standard error.

    Parameters
    ----------
    raw_lines : iterable of str
        Log lines.
    target_latencies : dict
        Target latency of each route for complete responses, in seconds.
    interval_s : float
        Length of an interval of the table by time, in seconds.
    clock : callable
        Monotonic clock, in seconds.

    Raises
    ------
    OSError
        If a line cannot be read.
    """
    stats = LossStats(target_latencies, interval_s)
    reported_at = clock()
    for raw_line in raw_lines:
        stats.add_line(raw_line)
        if (
            stats.line_count % LINES_PER_CLOCK_READ == 0
            and clock() - reported_at >= PROGRESS_INTERVAL_S
        ):
            reported_at = clock()
            print(f"wisteriastair: {stats.line_count} lines read", file=sys.stderr)
    return stats


def run_losses(
    files: Sequence[str], target_text: str, interval_s: float, json_output: bool
) -> int:
    """Print the statistics of log files.

    Parameters
    ----------
    files : sequence of str
        Paths of log files; standard input if empty.
    target_text : str
        Target latencies, as a comma-separated list of ROUTE=SECONDS.
    interval_s : float
        Length of an interval of the table by time, in seconds.
    json_output : bool
        Print JSON instead of tables.

    Returns
    -------
    int
        Exit status: 0 if no request was lost, 1 if one was, 2 for an invalid setting
        or an unreadable file.
    """
    target_latencies = parse_target_latencies(target_text)
    if isinstance(target_latencies, BadSetting):
        return _report_error(str(target_latencies), EXIT_INVALID_SETTING)
    if not MIN_INTERVAL_S <= interval_s < math.inf:
        allowed = f"{MIN_INTERVAL_S} seconds or more"
        return _report_error(
            str(BadSetting("every", str(interval_s), allowed)), EXIT_INVALID_SETTING
        )
    try:
        stats = count_losses(_read_files(files), target_latencies, interval_s)
    except OSError as exc:
        return _report_error(f"{exc.filename}: {exc.strerror}", EXIT_UNREADABLE_FILE)
    print(encode_json(stats) if json_output else format_text(stats))
    return EXIT_LOST_REQUESTS if stats.lost_count() else 0


def _read_files(files: Sequence[str]) -> Iterator[str]:
    # Standard input is reopened, so that invalid UTF-8 is replaced instead of raised.
    if not files:
        yield from _read_file(STDIN_FD, "standard input")
    for path in files:
        yield from _read_file(path, path)


def _read_file(path: str | int, name: str) -> Iterator[str]:
    is_path = isinstance(path, str)
    try:
        with open(path, encoding="utf-8", errors="replace", closefd=is_path) as file:
            yield from file
    except OSError as exc:
        raise OSError(exc.errno, exc.strerror, name) from exc


def _report_error(text: str, status: int) -> int:
    print(f"wisteriastair: {text}", file=sys.stderr)
    return status

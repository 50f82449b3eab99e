"""`wisteriastair losses`: which requests lose worth, when and why, out of log lines.

Lines of any number of processes are read in any order, but those of one process in the
order in which it wrote them.  Each line is counted once and forgotten.
"""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Final

from ..options import BadSetting
from .losscount import Losses
from .losstables import as_json, as_text
from .trace import EXIT_BAD_FILE

EXIT_LOST: Final = 1
EXIT_WRONG_USE: Final = 2
STANDARD_INPUT: Final = 0
# Logs carry whole ms, so that shorter steps of the table by time mean nothing.
MIN_STEP_S: Final = 0.001
# Seconds between two words on how far the reading is.
PROGRESS_S: Final = 5.0
# Lines between two looks at the clock, some 10 ms of reading.
LINES_A_LOOK: Final = 1024


def parse_aims(given: str) -> dict[str, float] | BadSetting:
    """Read ROUTE=SECONDS, several of them with commas between."""
    aims: dict[str, float] = {}
    for each in given.split(",") if given else []:
        route, _, text = each.rpartition("=")
        try:
            aim_s = float(text)
        except ValueError:
            aim_s = math.nan
        if not route or not 0 < aim_s < math.inf:
            return BadSetting("aim", each, "ROUTE=SECONDS with seconds above 0")
        if route in aims:
            return BadSetting("aim", each, "one aim for each route")
        aims[route] = aim_s
    return aims


def count_losses(
    raw: Iterable[str],
    aims: dict[str, float],
    step_s: float,
    clock: Callable[[], float] = time.monotonic,
) -> Losses:
    """Count lines, with a word on standard error now and then.

    Parameters
    ----------
    raw : iterable of str
        Lines of logs.
    clock : callable
        Seconds since any moment.

    Raises
    ------
    OSError
        If a line cannot be read.
    """
    losses = Losses(aims, step_s)
    told_at = clock()
    for each in raw:
        losses.add(each)
        if losses.read % LINES_A_LOOK == 0 and clock() - told_at >= PROGRESS_S:
            told_at = clock()
            print(f"wisteriastair: {losses.read} lines read", file=sys.stderr)
    return losses


def run_losses(files: Sequence[str], aim: str, every: float, as_data: bool) -> int:
    """Print the tables; the status says whether a request lost worth."""
    aims = parse_aims(aim)
    if isinstance(aims, BadSetting):
        return _complain(str(aims), EXIT_WRONG_USE)
    if not MIN_STEP_S <= every < math.inf:
        allowed = f"{MIN_STEP_S} seconds or more"
        return _complain(str(BadSetting("every", str(every), allowed)), EXIT_WRONG_USE)
    try:
        losses = count_losses(_lines(files), aims, every)
    except OSError as exc:
        return _complain(f"{exc.filename}: {exc.strerror}", EXIT_BAD_FILE)
    print(as_json(losses) if as_data else as_text(losses))
    return EXIT_LOST if losses.lost() else 0


def _lines(files: Sequence[str]) -> Iterator[str]:
    # Standard input is opened anew, since foreign bytes in it must not end the reading.
    if not files:
        yield from _lines_of(STANDARD_INPUT, "standard input")
    for path in files:
        yield from _lines_of(path, path)


def _lines_of(path: str | int, name: str) -> Iterator[str]:
    is_ours = isinstance(path, str)
    try:
        with open(path, encoding="utf-8", errors="replace", closefd=is_ours) as file:
            yield from file
    except OSError as exc:
        raise OSError(exc.errno, exc.strerror, name) from exc


def _complain(text: str, status: int) -> int:
    print(f"wisteriastair: {text}", file=sys.stderr)
    return status

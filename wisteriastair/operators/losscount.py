"""Requests counted by how they ended, by time, by instance and by program.

What is kept grows with the rows of the tables and with the programs that lost a
request, not with the lines.
"""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple, TypeVar

from .endings import LOST, Ended, Ending, Outcome, classify, decode_request
from .trace import REQUEST_LINES, Line, NoLine, read_line

# A relay that has said that it ends before all is done ends within some ms; a request
# that breaks off later than this, in seconds, breaks off for another reason.
CUT_S: Final = 1.0
CUT_LINE: Final = "stopped before all was done"
START_LINE: Final = "relay started"
# The year 9999 in seconds since 1970: no clock shows more, nor can it be printed.
MAX_TIME_S: Final = 253_402_300_799.0
DAMAGED: Final = "a request's line with fields missing or wrong, or no date"

Key = TypeVar("Key")


class First(NamedTuple):
    """The earliest request of several."""

    at: float
    request: str
    ending: Ending


class Group:
    """Requests that are counted together.

    Attributes
    ----------
    first : First
        The earliest one, by the clocks of the instances.
    """

    def __init__(self, first: First) -> None:
        self.first = first
        self.counts: Counter[Outcome] = Counter()

    def add(self, one: First) -> None:
        """Count one request."""
        self.counts[one.ending.outcome] += 1
        if one.at < self.first.at:
            self.first = one


class Losses:
    """What is kept of the lines that were read.

    Attributes
    ----------
    read, requests, others : int
        Lines in all, those of requests, and other lines of the system.
    no_lines : Counter of str
        Lines that could not be counted as either, by what is wrong with them.
    rows, steps, instances, customers, programs : dict
        Requests by how they ended, by time, by instance, by customer, and the lost ones
        of each program; a step is a number of steps since 1970.
    unnamed : int
        Lost requests that belong to no program.
    with_aim, without_aim : set of str
        Routes that had answers, by whether they have an aim.

    Parameters
    ----------
    aims : dict
        Seconds in which the answers of a route are to be whole.
    step_s : float
        Seconds of a row of the table by time.
    """

    def __init__(self, aims: dict[str, float], step_s: float) -> None:
        self.aims = aims
        self.step_s = step_s
        self.read = 0
        self.requests = 0
        self.others = 0
        self.no_lines: Counter[str] = Counter()
        self.rows: dict[Ending, Group] = {}
        self.steps: dict[int, Group] = {}
        self.instances: dict[str, Group] = {}
        self.customers: dict[str, Group] = {}
        self.programs: dict[str, Group] = {}
        self.unnamed = 0
        self.with_aim: set[str] = set()
        self.without_aim: set[str] = set()
        # When an instance said that it ends before all is done.
        self._cuts: dict[str, float] = {}

    def lost(self) -> int:
        """Count the requests that lost worth."""
        rows = self.rows.items()
        return sum(g.counts.total() for end, g in rows if end.outcome in LOST)

    def add(self, raw: str) -> None:
        """Count one line."""
        self.read += 1
        line = read_line(raw)
        if isinstance(line, NoLine):
            self.no_lines[line.value] += 1
            return
        if line.text in REQUEST_LINES:
            self._add_request(line)
            return
        self.others += 1
        if line.text == CUT_LINE:
            self._cuts[line.instance] = line.at
        if line.text == START_LINE:
            self._cuts.pop(line.instance, None)

    def _add_request(self, line: Line) -> None:
        request = decode_request(line)
        if request is None or not 0 <= line.at <= MAX_TIME_S:
            self.no_lines[DAMAGED] += 1
            return
        self.requests += 1
        route = request.route if isinstance(request, Ended) else ""
        ending = classify(request, self.aims.get(route), self._is_cut(line))
        if ending.outcome is Outcome.ANSWERED:
            self.without_aim.add(route)
        if ending.outcome in (Outcome.IN_TIME, Outcome.LATE):
            self.with_aim.add(route)
        one = First(line.at, request.request, ending)
        step = int(line.at // self.step_s)
        _group(self.rows, ending, one)
        _group(self.steps, step, one)
        _group(self.instances, line.instance, one)
        if isinstance(request, Ended) and request.customer:
            _group(self.customers, request.customer, one)
        if ending.outcome not in LOST:
            return
        if isinstance(request, Ended) and request.program:
            _group(self.programs, request.program, one)
        else:
            self.unnamed += 1

    def _is_cut(self, line: Line) -> bool:
        cut_at = self._cuts.get(line.instance)
        return cut_at is not None and 0 <= line.at - cut_at <= CUT_S


def _group(groups: dict[Key, Group], key: Key, one: First) -> None:
    group = groups.get(key)
    if group is None:
        group = groups[key] = Group(one)
    group.add(one)

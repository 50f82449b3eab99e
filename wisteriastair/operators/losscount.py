"""Statistics of requests by outcome, time, instance, customer and program.

Memory grows with the rows of the tables and with the programs that lost a request, not
with the number of log lines.
"""

from __future__ import annotations

from collections import Counter
from typing import Final, NamedTuple, TypeVar

from .endings import (
    LOST_OUTCOMES,
    Classification,
    Outcome,
    RoutedRequestRecord,
    classify,
    decode_request,
)
from .trace import REQUEST_TEXTS, LineError, LogLine, parse_line

# A relay that aborts its remaining requests exits within milliseconds.  A request that
# is interrupted later than this has another cause.
ABORT_WINDOW_S: Final = 1.0
ABORT_TEXT: Final = "stopped before all was done"
START_TEXT: Final = "relay started"
# End of the year 9999, the last second that `datetime` can represent.
MAX_TIMESTAMP_S: Final = 253_402_300_799.0
DAMAGED_REQUEST_LINE: Final = (
    "a request's line with fields missing or wrong, or no date"
)

Key = TypeVar("Key")


class ClassifiedRequest(NamedTuple):
    """A request with its outcome and cause."""

    timestamp_s: float
    request_id: str
    classification: Classification


class RequestGroup:
    """Number of requests of each outcome in one row of a table.

    Attributes
    ----------
    first : ClassifiedRequest
        The earliest request, by the clocks of the instances.
    counts : Counter of Outcome
        Number of requests of each outcome.
    """

    def __init__(self, first: ClassifiedRequest) -> None:
        self.first = first
        self.counts: Counter[Outcome] = Counter()

    def add(self, classified: ClassifiedRequest) -> None:
        """Count one request."""
        self.counts[classified.classification.outcome] += 1
        if classified.timestamp_s < self.first.timestamp_s:
            self.first = classified


class LossStats:
    """Statistics of the log lines that were read.

    A request is lost if its outcome is late, refused, failed or broken off.

    Attributes
    ----------
    line_count, request_count, other_line_count : int
        Number of all lines, of valid request lines and of other log lines of the
        system.
    skipped_lines : Counter of str
        Number of lines that could not be used, by reason.
    by_classification, by_interval, by_instance, by_customer : dict
        Groups of all requests.  The key of an interval is its start, as a number of
        intervals since the Unix epoch.
    by_program : dict
        Groups of the lost requests of each program.
    lost_without_program : int
        Number of lost requests that belong to no program.
    routes_with_target, routes_without_target : set of str
        Routes with successful responses, by whether they have a target latency.

    Parameters
    ----------
    target_latencies : dict
        Target latency of each route for complete responses, in seconds.
    interval_s : float
        Length of an interval of the table by time, in seconds.
    """

    def __init__(self, target_latencies: dict[str, float], interval_s: float) -> None:
        self.target_latencies = target_latencies
        self.interval_s = interval_s
        self.line_count = 0
        self.request_count = 0
        self.other_line_count = 0
        self.skipped_lines: Counter[str] = Counter()
        self.by_classification: dict[Classification, RequestGroup] = {}
        self.by_interval: dict[int, RequestGroup] = {}
        self.by_instance: dict[str, RequestGroup] = {}
        self.by_customer: dict[str, RequestGroup] = {}
        self.by_program: dict[str, RequestGroup] = {}
        self.lost_without_program = 0
        self.routes_with_target: set[str] = set()
        self.routes_without_target: set[str] = set()
        # When each instance aborted its remaining requests, in seconds since the Unix
        # epoch.
        self._abort_times_s: dict[str, float] = {}

    def lost_count(self) -> int:
        """Return the number of lost requests."""
        groups = self.by_classification.items()
        return sum(
            g.counts.total() for key, g in groups if key.outcome in LOST_OUTCOMES
        )

    def add_line(self, raw_line: str) -> None:
        """Parse and count one line."""
        self.line_count += 1
        line = parse_line(raw_line)
        if isinstance(line, LineError):
            self.skipped_lines[line.value] += 1
            return
        if line.text in REQUEST_TEXTS:
            self._add_request(line)
            return
        self.other_line_count += 1
        if line.text == ABORT_TEXT:
            self._abort_times_s[line.instance] = line.timestamp_s
        if line.text == START_TEXT:
            self._abort_times_s.pop(line.instance, None)

    def _add_request(self, line: LogLine) -> None:
        request = decode_request(line)
        if request is None or not 0 <= line.timestamp_s <= MAX_TIMESTAMP_S:
            self.skipped_lines[DAMAGED_REQUEST_LINE] += 1
            return
        self.request_count += 1
        route = request.route if isinstance(request, RoutedRequestRecord) else ""
        classification = classify(
            request, self.target_latencies.get(route), self._is_aborted(line)
        )
        if classification.outcome is Outcome.ANSWERED:
            self.routes_without_target.add(route)
        if classification.outcome in (Outcome.IN_TIME, Outcome.LATE):
            self.routes_with_target.add(route)
        classified = ClassifiedRequest(
            line.timestamp_s, request.request, classification
        )
        interval = int(line.timestamp_s // self.interval_s)
        _add_to_group(self.by_classification, classification, classified)
        _add_to_group(self.by_interval, interval, classified)
        _add_to_group(self.by_instance, line.instance, classified)
        if isinstance(request, RoutedRequestRecord) and request.customer:
            _add_to_group(self.by_customer, request.customer, classified)
        if classification.outcome not in LOST_OUTCOMES:
            return
        if isinstance(request, RoutedRequestRecord) and request.program:
            _add_to_group(self.by_program, request.program, classified)
        else:
            self.lost_without_program += 1

    def _is_aborted(self, line: LogLine) -> bool:
        aborted_at_s = self._abort_times_s.get(line.instance)
        return (
            aborted_at_s is not None
            and 0 <= line.timestamp_s - aborted_at_s <= ABORT_WINDOW_S
        )


def _add_to_group(
    groups: dict[Key, RequestGroup], key: Key, classified: ClassifiedRequest
) -> None:
    group = groups.get(key)
    if group is None:
        group = groups[key] = RequestGroup(classified)
    group.add(classified)

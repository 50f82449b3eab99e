"""The trace command: reconstruct a request, or all requests of a program, from logs.

Log lines of any number of processes are read in any order.  Text before the JSON object
of a line, such as a log collector's prefix, is skipped.  A request line belongs to the
trace if it contains the wanted id; its durations are printed as hops.

Each request is followed by the state of its process when it ended, which is the last
line about the ledger, the store, the configuration, the view and the process itself,
and by the lines of all processes about the servers that were tried.  Missing
information is reported as well: a request without a line is a result too.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

import msgspec

# Texts of the log lines that show the state of a process, by subject.  The last line
# of each subject is the current state.
LEDGER_TEXTS: Final = ("ledger in reach", "ledger out of reach")
STORE_TEXTS: Final = ("store in touch", "store lost")
CONFIG_TEXTS: Final = ("configuration in force",)
VIEW_TEXTS: Final = ("view adopted",)
LIFECYCLE_TEXTS: Final = ("relay started", "stopping", "last call", "relay stopped")
PROCESS_STATE_TEXTS: Final = (
    LEDGER_TEXTS,
    STORE_TEXTS,
    CONFIG_TEXTS,
    VIEW_TEXTS,
    LIFECYCLE_TEXTS,
)
REQUEST_TEXTS: Final = ("request ended", "request broken off", "request refused")
SERVER_TEXTS: Final = ("server known", "server vanished")
# Changes of a server's entry are shown from this long before a request until this long
# after it.  Entries lag: a crash is visible only after three missed heartbeats.
SERVER_WINDOW_S: Final = 5.0
MS_PER_S: Final = 1000.0
SUCCESS_STATUSES: Final = range(200, 300)
# Fields that every line has; they are left out of the description of a line.
OMITTED_FIELDS: Final = frozenset(("time", "level", "logger", "text", "instance"))

EXIT_NOT_FOUND: Final = 1
EXIT_UNREADABLE_FILE: Final = 2

Fields = dict[str, Any]


class LogLine(NamedTuple):
    """A parsed log line.

    Attributes
    ----------
    timestamp_s : float
        Seconds since the Unix epoch, by the clock of the instance.
    instance : str
        Name of the process that wrote the line; ``?`` if the line has none.
    text : str
        The log message.
    fields : dict
        All fields of the JSON object.
    """

    timestamp_s: float
    instance: str
    text: str
    fields: Fields


class LineError(StrEnum):
    """Why a line is not a valid log line of this system."""

    NO_JSON_OBJECT = "no JSON object"
    INVALID_JSON = "a JSON object that is broken"
    NO_TIME_OR_TEXT = "a JSON object without a time and a text"


def parse_line(raw_line: str) -> LogLine | LineError:
    """Parse one log line; text before its JSON object is skipped."""
    _, brace, rest = raw_line.partition("{")
    if not brace:
        return LineError.NO_JSON_OBJECT
    try:
        fields = msgspec.json.decode(brace + rest, type=Fields)
    except (msgspec.DecodeError, RecursionError):
        return LineError.INVALID_JSON
    if "time" not in fields or "text" not in fields:
        return LineError.NO_TIME_OR_TEXT
    try:
        timestamp_s = float(fields["time"])
    except (TypeError, ValueError, OverflowError):
        return LineError.NO_TIME_OR_TEXT
    text = str(fields["text"])
    return LogLine(timestamp_s, str(fields.get("instance", "?")), text, fields)


def parse_lines(raw_lines: Iterable[str]) -> list[LogLine]:
    """Parse log lines and sort them by time; invalid lines are skipped."""
    parsed = [parse_line(raw_line) for raw_line in raw_lines]
    lines = [line for line in parsed if isinstance(line, LogLine)]
    return sorted(lines, key=lambda line: line.timestamp_s)


def run_trace(wanted_id: str, files: Sequence[str]) -> int:
    """Print the trace of a request or a program.

    Parameters
    ----------
    wanted_id : str
        Id of a request or a program.
    files : sequence of str
        Paths of log files; standard input if empty.

    Returns
    -------
    int
        Exit status: 0 if the id was found, 1 if not, 2 if a file cannot be read.
    """
    raw_lines: list[str] = []
    if not files:
        raw_lines = sys.stdin.readlines()
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                raw_lines += file.readlines()
        except OSError as exc:
            print(f"wisteriastair: {path}: {exc.strerror}", file=sys.stderr)
            return EXIT_UNREADABLE_FILE
    lines = parse_lines(raw_lines)
    print("\n".join(format_trace(lines, wanted_id)))
    return 0 if _find_requests(lines, wanted_id) else EXIT_NOT_FOUND


def format_trace(lines: list[LogLine], wanted_id: str) -> list[str]:
    """Format the trace of a request, or of all requests of a program.

    Parameters
    ----------
    lines : list of LogLine
        Log lines of all available processes, sorted by time.
    wanted_id : str
        Id of a request or a program.

    Returns
    -------
    list of str
        Lines of the output.
    """
    request_lines = _find_requests(lines, wanted_id)
    if not request_lines:
        return [
            f"{wanted_id}: no line in {len(lines)} lines "
            f"of {_count_instances(lines)} processes.",
            "No relay has read it, its log is not here, or the relay was killed "
            "before the request ended: look for 'relay started' after its time.",
        ]
    output: list[str] = []
    for line in request_lines:
        output += _format_request(line, lines)
    if len(request_lines) > 1:
        output.append(_format_totals(request_lines))
    return output


def _find_requests(lines: list[LogLine], wanted_id: str) -> list[LogLine]:
    return [
        line
        for line in lines
        if line.text in REQUEST_TEXTS
        and wanted_id in (line.fields.get("request"), line.fields.get("program"))
    ]


def _format_request(line: LogLine, lines: list[LogLine]) -> list[str]:
    fields = line.fields
    started_at_s = line.timestamp_s - float(fields.get("took_ms", 0.0)) / MS_PER_S
    output = [f"request {fields.get('request', '?')} at {line.instance}"]
    output += [f"  {hop}" for hop in _format_hops(fields)]
    output.append(f"  = {_format_outcome(line)}")
    output += [f"  believed: {text}" for text in _format_process_state(line, lines)]
    output += [
        f"  server: {text}" for text in _format_servers(line, lines, started_at_s)
    ]
    if line.instance == "?":
        output.append("  missing: the instance's name, so nothing it believed is shown")
    return output


def _format_hops(fields: Fields) -> list[str]:
    hops = ["+0.0 ms arrives"]
    if "route" in fields:
        hops[0] += (
            f", route {fields['route']} to {fields.get('service', '?')}"
            f" by configuration {fields.get('config', '?')}"
        )
    if fields.get("ledger_ms"):
        hops.append(f"+{fields['ledger_ms']} ms done with the ledger")
    for position, server in enumerate(fields.get("servers", []), start=1):
        hops.append(f"server {position} tried: {server}")
    if fields.get("first_ms"):
        hops.append(f"+{fields['first_ms']} ms first event to the caller")
    if "took_ms" in fields:
        hops.append(
            f"+{fields['took_ms']} ms end, {fields.get('left_ms', '?')} ms left"
        )
    return hops


def _format_outcome(line: LogLine) -> str:
    fields = line.fields
    status = fields.get("status", 0)
    events = fields.get("events", 0)
    outcome = f"status {status}" if status else "channel ended without a whole answer"
    if events:
        outcome += f", {events} events"
    if fields.get("reason"):
        outcome += f", because: {fields['reason']}"
    if status in SUCCESS_STATUSES:
        return outcome
    if line.text == "request refused" or not fields.get("sent", False):
        return outcome + "; no server has run it"
    return outcome + "; a server may have run it"


def _format_process_state(line: LogLine, lines: list[LogLine]) -> list[str]:
    output: list[str] = []
    for texts in PROCESS_STATE_TEXTS:
        earlier = [
            other
            for other in lines
            if other.instance == line.instance
            and other.text in texts
            and other.timestamp_s <= line.timestamp_s
        ]
        if earlier:
            last = earlier[-1]
            output.append(
                f"{line.timestamp_s - last.timestamp_s:.1f} s old: {_format_line(last)}"
            )
    return output


def _format_servers(
    line: LogLine, lines: list[LogLine], started_at_s: float
) -> list[str]:
    tried_servers = set(line.fields.get("servers", []))
    output: list[str] = []
    for other in lines:
        if (
            other.text not in SERVER_TEXTS
            or other.fields.get("server") not in tried_servers
        ):
            continue
        if (
            started_at_s - SERVER_WINDOW_S
            <= other.timestamp_s
            <= line.timestamp_s + SERVER_WINDOW_S
        ):
            output.append(
                f"{other.timestamp_s - started_at_s:+.1f} s at {other.instance}: "
                f"{_format_line(other)}"
            )
    return output


def _format_line(line: LogLine) -> str:
    other_fields = [
        f"{k}={v}" for k, v in line.fields.items() if k not in OMITTED_FIELDS
    ]
    return " ".join([line.text, *other_fields])


def _format_totals(request_lines: list[LogLine]) -> str:
    statuses: dict[str, int] = {}
    for line in request_lines:
        status = str(line.fields.get("status", 0))
        statuses[status] = statuses.get(status, 0) + 1
    counts = ", ".join(f"{n} x {status}" for status, n in sorted(statuses.items()))
    duration_s = request_lines[-1].timestamp_s - request_lines[0].timestamp_s
    return f"{len(request_lines)} requests in {duration_s:.1f} s: {counts}"


def _count_instances(lines: list[LogLine]) -> int:
    return len({line.instance for line in lines})

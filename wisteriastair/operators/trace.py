"""`wisteriastair trace`: the way of one request, or of a program, out of log lines.

Lines of any number of processes are read in any order; what stands before the JSON
object of a line, such as a collector's prefix, is left out.  Lines that name the id are
its requests.  Each is taken apart into hops by the durations that it carries.  Beside
it stand the lines that tell what its process believed at that time: what it last said
of the ledger, the store and the configuration before the request ended, and what any
process said of the servers that were tried.  What is not in the lines is named, since a
request without a line is a finding of its own.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

import msgspec

# Beliefs of a process, by what they are about; the last line of each kind counts.
LEDGER_LINES: Final = ("ledger in reach", "ledger out of reach")
STORE_LINES: Final = ("store in touch", "store lost")
CONFIG_LINES: Final = ("configuration in force",)
VIEW_LINES: Final = ("view adopted",)
LIFE_LINES: Final = ("relay started", "stopping", "last call", "relay stopped")
BELIEFS: Final = (LEDGER_LINES, STORE_LINES, CONFIG_LINES, VIEW_LINES, LIFE_LINES)
REQUEST_LINES: Final = ("request ended", "request broken off", "request refused")
SERVER_LINES: Final = ("server known", "server vanished")
# What a server's entry said this long before and after a request still explains it, in
# seconds: entries lag, and a crash shows in them after three missed heartbeats.
SERVER_WINDOW_S: Final = 5.0
MS_PER_S: Final = 1000.0
SUCCESS: Final = range(200, 300)
# Fields that every line has, or that the hops show already.
SHOWN: Final = frozenset(("time", "level", "logger", "text", "instance"))

EXIT_NOT_FOUND: Final = 1
EXIT_BAD_FILE: Final = 2

Fields = dict[str, Any]


class Line(NamedTuple):
    """One line of a log.

    Attributes
    ----------
    at : float
        Seconds since 1970, by the clock of the instance.
    """

    at: float
    instance: str
    text: str
    fields: Fields


class NoLine(StrEnum):
    """Why something in a log is no line of the system."""

    NO_OBJECT = "no JSON object"
    BROKEN = "a JSON object that is broken"
    FOREIGN = "a JSON object without a time and a text"


def read_line(raw: str) -> Line | NoLine:
    """Read one line of a log; what stands before its JSON object is left out."""
    _, brace, rest = raw.partition("{")
    if not brace:
        return NoLine.NO_OBJECT
    try:
        fields = msgspec.json.decode(brace + rest, type=Fields)
    except (msgspec.DecodeError, RecursionError):
        return NoLine.BROKEN
    if "time" not in fields or "text" not in fields:
        return NoLine.FOREIGN
    try:
        at = float(fields["time"])
    except (TypeError, ValueError, OverflowError):
        return NoLine.FOREIGN
    text = str(fields["text"])
    return Line(at, str(fields.get("instance", "?")), text, fields)


def read_lines(raw: Iterable[str]) -> list[Line]:
    """Read log lines in the order of their times; others are left out."""
    read = [read_line(each) for each in raw]
    lines = [line for line in read if isinstance(line, Line)]
    return sorted(lines, key=lambda line: line.at)


def run_trace(wanted: str, files: Sequence[str]) -> int:
    """Print the way of a request or a program; the status says if it was found."""
    raw: list[str] = []
    if not files:
        raw = sys.stdin.readlines()
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                raw += file.readlines()
        except OSError as exc:
            print(f"wisteriastair: {path}: {exc.strerror}", file=sys.stderr)
            return EXIT_BAD_FILE
    lines = read_lines(raw)
    print("\n".join(trace(lines, wanted)))
    return 0 if _requests(lines, wanted) else EXIT_NOT_FOUND


def trace(lines: list[Line], wanted: str) -> list[str]:
    """Tell the way of a request, or of all requests of a program.

    Parameters
    ----------
    lines : list of Line
        Lines of all processes that could be collected, in the order of their times.
    wanted : str
        Id of a request or a program.
    """
    found = _requests(lines, wanted)
    if not found:
        return [
            f"{wanted}: no line in {len(lines)} lines of {_count(lines)} processes.",
            "No relay has read it, its log is not here, or the relay was killed "
            "before the request ended: look for 'relay started' after its time.",
        ]
    told: list[str] = []
    for line in found:
        told += _request(line, lines)
    if len(found) > 1:
        told.append(_sum(found))
    return told


def _requests(lines: list[Line], wanted: str) -> list[Line]:
    return [
        line
        for line in lines
        if line.text in REQUEST_LINES
        and wanted in (line.fields.get("request"), line.fields.get("program"))
    ]


def _request(line: Line, lines: list[Line]) -> list[str]:
    fields = line.fields
    began = line.at - float(fields.get("took_ms", 0.0)) / MS_PER_S
    told = [f"request {fields.get('request', '?')} at {line.instance}"]
    told += [f"  {hop}" for hop in _hops(fields)]
    told.append(f"  = {_outcome(line)}")
    told += [f"  believed: {text}" for text in _beliefs(line, lines)]
    told += [f"  server: {text}" for text in _servers(line, lines, began)]
    if line.instance == "?":
        told.append("  missing: the instance's name, so nothing it believed is shown")
    return told


def _hops(fields: Fields) -> list[str]:
    hops = ["+0.0 ms arrives"]
    if "route" in fields:
        hops[0] += (
            f", route {fields['route']} to {fields.get('service', '?')}"
            f" by configuration {fields.get('config', '?')}"
        )
    if fields.get("ledger_ms"):
        hops.append(f"+{fields['ledger_ms']} ms done with the ledger")
    for place, server in enumerate(fields.get("servers", []), start=1):
        hops.append(f"server {place} tried: {server}")
    if fields.get("first_ms"):
        hops.append(f"+{fields['first_ms']} ms first event to the caller")
    if "took_ms" in fields:
        hops.append(
            f"+{fields['took_ms']} ms end, {fields.get('left_ms', '?')} ms left"
        )
    return hops


def _outcome(line: Line) -> str:
    fields = line.fields
    status = fields.get("status", 0)
    events = fields.get("events", 0)
    outcome = f"status {status}" if status else "channel ended without a whole answer"
    if events:
        outcome += f", {events} events"
    if fields.get("reason"):
        outcome += f", because: {fields['reason']}"
    if status in SUCCESS:
        return outcome
    if line.text == "request refused" or not fields.get("sent", False):
        return outcome + "; no server has run it"
    return outcome + "; a server may have run it"


def _beliefs(line: Line, lines: list[Line]) -> list[str]:
    told: list[str] = []
    for kind in BELIEFS:
        before = [
            each
            for each in lines
            if each.instance == line.instance
            and each.text in kind
            and each.at <= line.at
        ]
        if before:
            last = before[-1]
            told.append(f"{line.at - last.at:.1f} s old: {_described(last)}")
    return told


def _servers(line: Line, lines: list[Line], began: float) -> list[str]:
    tried = set(line.fields.get("servers", []))
    told: list[str] = []
    for each in lines:
        if each.text not in SERVER_LINES or each.fields.get("server") not in tried:
            continue
        if began - SERVER_WINDOW_S <= each.at <= line.at + SERVER_WINDOW_S:
            told.append(
                f"{each.at - began:+.1f} s at {each.instance}: {_described(each)}"
            )
    return told


def _described(line: Line) -> str:
    more = [f"{k}={v}" for k, v in line.fields.items() if k not in SHOWN]
    return " ".join([line.text, *more])


def _sum(found: list[Line]) -> str:
    statuses: dict[str, int] = {}
    for line in found:
        status = str(line.fields.get("status", 0))
        statuses[status] = statuses.get(status, 0) + 1
    counted = ", ".join(f"{n} x {status}" for status, n in sorted(statuses.items()))
    seconds = found[-1].at - found[0].at
    return f"{len(found)} requests in {seconds:.1f} s: {counted}"


def _count(lines: list[Line]) -> int:
    return len({line.instance for line in lines})

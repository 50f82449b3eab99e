"""Traces of requests from log lines, with a golden case for each kind of failure."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.golden import check_cases
from wisteriastair.operators.trace import (
    LineError,
    LogLine,
    format_trace,
    parse_line,
    parse_lines,
    run_trace,
)

GOLDEN = Path(__file__).parent / "golden" / "trace.txt"


def format_case(given: str) -> str:
    wanted_id, *raw_lines = given.splitlines()
    return "\n".join(format_trace(parse_lines(raw_lines), wanted_id))


def test_golden_traces() -> None:
    check_cases(GOLDEN, format_case)


def test_unreadable_file_is_named(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    missing = tmp_path / "none.log"
    assert run_trace("q1", [str(missing)]) == 2
    assert str(missing) in capsys.readouterr().err


def test_exit_status_shows_whether_the_id_was_found(tmp_path: Path) -> None:
    log = tmp_path / "relay.log"
    log.write_text('{"time":1.0,"text":"request ended","request":"q1","status":200}\n')
    assert run_trace("q1", [str(log)]) == 0
    assert run_trace("q2", [str(log)]) == 1


@pytest.mark.parametrize(
    ("raw_line", "expected"),
    [
        ("", LineError.NO_JSON_OBJECT),
        ("Traceback (most recent call last):", LineError.NO_JSON_OBJECT),
        ('{"time":1.0,"text":"requ', LineError.INVALID_JSON),
        ('{"a":' * 100_000, LineError.INVALID_JSON),
        ('{"time":1.0,"level":"info"}', LineError.NO_TIME_OR_TEXT),
        ('{"time":"noon","text":"sings"}', LineError.NO_TIME_OR_TEXT),
        ('{"time":[1],"text":"sings"}', LineError.NO_TIME_OR_TEXT),
        ('{"time":1' + "0" * 400 + ',"text":"sings"}', LineError.NO_TIME_OR_TEXT),
    ],
)
def test_invalid_lines_are_classified_and_skipped(
    raw_line: str, expected: LineError
) -> None:
    assert parse_line(raw_line) is expected
    assert parse_lines([raw_line]) == []


def test_collector_prefix_is_skipped() -> None:
    fields = {"time": 1.5, "text": "stopping"}
    line = parse_line('  31.7 relay-1 {"time":1.5,"text":"stopping"}\n')
    assert line == LogLine(1.5, "?", "stopping", fields)

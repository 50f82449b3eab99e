"""The way of a request out of log lines: one golden case for each kind of failure."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.golden import check_cases
from wisteriastair.operators.trace import (
    Line,
    NoLine,
    read_line,
    read_lines,
    run_trace,
    trace,
)

GOLDEN = Path(__file__).parent / "golden" / "trace.txt"


def run(given: str) -> str:
    wanted, *raw = given.splitlines()
    return "\n".join(trace(read_lines(raw), wanted))


def test_golden_traces() -> None:
    check_cases(GOLDEN, run)


def test_a_file_that_cannot_be_read_is_named(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    missing = tmp_path / "none.log"
    assert run_trace("q1", [str(missing)]) == 2
    assert str(missing) in capsys.readouterr().err


def test_the_status_says_whether_the_id_was_found(tmp_path: Path) -> None:
    log = tmp_path / "relay.log"
    log.write_text('{"time":1.0,"text":"request ended","request":"q1","status":200}\n')
    assert run_trace("q1", [str(log)]) == 0
    assert run_trace("q2", [str(log)]) == 1


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        ("", NoLine.NO_OBJECT),
        ("Traceback (most recent call last):", NoLine.NO_OBJECT),
        ('{"time":1.0,"text":"requ', NoLine.BROKEN),
        ('{"a":' * 100_000, NoLine.BROKEN),
        ('{"time":1.0,"level":"info"}', NoLine.FOREIGN),
        ('{"time":"noon","text":"sings"}', NoLine.FOREIGN),
        ('{"time":[1],"text":"sings"}', NoLine.FOREIGN),
        ('{"time":1' + "0" * 400 + ',"text":"sings"}', NoLine.FOREIGN),
    ],
)
def test_what_is_no_line_is_named_and_left_out(raw: str, expected: NoLine) -> None:
    assert read_line(raw) is expected
    assert read_lines([raw]) == []


def test_a_collectors_prefix_is_left_out() -> None:
    fields = {"time": 1.5, "text": "stopping"}
    line = read_line('  31.7 relay-1 {"time":1.5,"text":"stopping"}\n')
    assert line == Line(1.5, "?", "stopping", fields)

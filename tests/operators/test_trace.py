"""The way of a request out of log lines: one golden case for each kind of failure."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.golden import check_cases
from wisteriastair.operators.trace import read_lines, run_trace, trace

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

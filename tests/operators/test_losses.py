"""Tables of lost requests: golden output, totals, invalid settings and input."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.golden import check_cases
from wisteriastair.operators.losscount import LossStats
from wisteriastair.operators.losses import (
    LINES_PER_CLOCK_READ,
    PROGRESS_INTERVAL_S,
    count_losses,
    parse_target_latencies,
    run_losses,
)
from wisteriastair.operators.losstables import (
    MAX_CUSTOMER_ROWS,
    MAX_PROGRAM_ROWS,
    encode_json,
    format_text,
)
from wisteriastair.options import BadSetting

GOLDEN = Path(__file__).parent / "golden" / "losses.txt"


def request_line(timestamp_s: float = 100.0, status: int = 200, **fields: Any) -> str:
    defaults = {"time": timestamp_s, "text": "request ended", "instance": "relay-lac-1"}
    rest = {"status": status, "took_ms": 10.0, "left_ms": 900, "sent": status != 503}
    return json.dumps({**defaults, **rest, **fields})


def count_lines(
    raw_lines: list[str], target_text: str = "", interval_s: float = 2.0
) -> LossStats:
    target_latencies = parse_target_latencies(target_text)
    assert not isinstance(target_latencies, BadSetting)
    return count_losses(raw_lines, target_latencies, interval_s)


def format_case(given: str) -> str:
    target_text, *raw_lines = given.split("\n")
    return format_text(count_lines(raw_lines, target_text.removeprefix("aims").strip()))


def test_golden_output() -> None:
    check_cases(GOLDEN, format_case)


def test_every_line_is_counted_once_in_each_table() -> None:
    raw_lines = GOLDEN.read_text("utf-8").splitlines()
    data = json.loads(encode_json(count_lines(raw_lines, "turn=1")))
    lines = data["lines"]
    skipped_count = sum(lines["no_lines"].values())
    assert lines["read"] == len(raw_lines)
    assert lines["requests"] + lines["others"] + skipped_count == lines["read"]
    for table in (data["reasons"], data["times"], data["instances"].values()):
        assert sum(row["requests"] for row in table) == lines["requests"]
    good = ("in time", "answered")
    rows = [row for row in data["reasons"] if row["outcome"] not in good]
    assert sum(row["requests"] for row in rows) == data["lost"]
    programs = sum(row["requests"] for row in data["programs"].values())
    assert programs + data["lost_without_program"] == data["lost"]


def test_first_loss_of_a_program_is_the_earliest_in_time() -> None:
    late = request_line(108.0, 502, program="p1", request="q2", reason="odd")
    early = request_line(103.0, 503, program="p1", request="q1")
    group = count_lines([late, early]).by_program["p1"]
    assert (group.first.request_id, group.counts.total()) == ("q1", 2)


def test_abort_explains_only_its_instance_and_a_short_time() -> None:
    abort_line = (
        '{"time":100,"text":"stopped before all was done","instance":"relay-lac-1"}'
    )
    interrupted_text = "request broken off"
    raw_lines = [
        abort_line,
        request_line(100.1, 0, text=interrupted_text),
        request_line(101.5, 0, text=interrupted_text),
        request_line(100.1, 0, text=interrupted_text, instance="relay-lac-2"),
    ]
    rows = {
        str(key.cause): g.counts.total()
        for key, g in count_lines(raw_lines).by_classification.items()
    }
    assert rows == {"relay stopping": 1, "caller left": 2}


def test_memory_does_not_grow_with_lines() -> None:
    stats = count_lines([request_line(100.0, program=f"p{n}") for n in range(500)])
    assert stats.request_count == 500
    groups = (
        stats.by_classification,
        stats.by_interval,
        stats.by_instance,
        stats.by_program,
    )
    assert [len(each) for each in groups] == [1, 1, 1, 0]


def test_output_lists_some_programs_and_counts_the_rest() -> None:
    raw_lines = [request_line(100.0 + n, 500, program=f"p{n}") for n in range(30)]
    output = format_text(count_lines(raw_lines))
    assert f"and {30 - MAX_PROGRAM_ROWS} later ones" in output
    assert len(json.loads(encode_json(count_lines(raw_lines)))["programs"]) == 30


def test_lines_with_impossible_times_are_skipped() -> None:
    stats = count_lines([request_line(-1.0), request_line(1e300)])
    assert (stats.request_count, stats.skipped_lines.total()) == (0, 2)
    format_text(stats)


@pytest.mark.parametrize(
    "invalid", ["turn", "turn=x", "=3", "turn=0", "turn=nan", "a=1,"]
)
def test_invalid_target_is_named(
    invalid: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_losses([], invalid, 2.0, False) == 2
    stderr = capsys.readouterr().err
    assert repr(invalid.split(",")[-1]) in stderr
    assert stderr.count("\n") == 1


def test_two_targets_of_a_route_are_invalid() -> None:
    assert isinstance(parse_target_latencies("turn=1,turn=2"), BadSetting)
    assert parse_target_latencies("turn=1,a=b=0.5") == {"turn": 1.0, "a=b": 0.5}


@pytest.mark.parametrize("interval_s", [0.0, -1.0, float("nan"), float("inf")])
def test_invalid_interval_is_named(
    interval_s: float, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_losses([], "", interval_s, False) == 2
    assert "every" in capsys.readouterr().err


def test_unreadable_file_is_named(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    for path in (tmp_path / "none.log", tmp_path):
        assert run_losses([str(path)], "", 2.0, False) == 2
        assert str(path) in capsys.readouterr().err


@pytest.mark.parametrize(("aim", "status"), [("", 0), ("turn=1", 0), ("turn=0.001", 1)])
def test_exit_status_shows_whether_a_request_was_lost(
    aim: str, status: int, tmp_path: Path
) -> None:
    log = tmp_path / "relay.log"
    log.write_text(request_line(route="turn"))
    assert run_losses([str(log)], aim, 2.0, True) == status


def test_progress_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    # The clock advances by a second with each reading, so that a message is due after
    # five readings.
    seconds = iter(range(100))
    raw_lines = [request_line()] * (LINES_PER_CLOCK_READ * 12)
    count_losses(raw_lines, {}, 2.0, clock=lambda: float(next(seconds)))
    stderr = capsys.readouterr().err.splitlines()
    assert PROGRESS_INTERVAL_S == 5.0
    assert stderr[0] == f"wisteriastair: {LINES_PER_CLOCK_READ * 5} lines read"
    assert len(stderr) == 2


def test_command_reads_standard_input_with_invalid_utf8() -> None:
    command = [sys.executable, "-m", "wisteriastair", "losses"]
    command += ["--aim", "turn=0.001", "--aim", "chat=1", "--json"]
    stdin = b"\xff\xfe sing\n" + request_line(route="turn").encode()
    process = subprocess.run(command, input=stdin, capture_output=True, check=False)
    data = json.loads(process.stdout)
    assert process.returncode == 1, process.stderr
    assert data["aims"] == {"turn": 0.001, "chat": 1.0}
    assert (data["lines"]["read"], data["lost"]) == (2, 1)


def test_customers_with_most_losses_come_first() -> None:
    """The customer with the highest fraction of lost requests comes first."""
    raw_lines = [request_line(customer=f"c{n}") for n in range(MAX_CUSTOMER_ROWS + 1)]
    raw_lines += [request_line(status=429, sent=False, customer="worst")] * 2
    raw_lines.append(request_line(customer="worst"))
    stats = count_lines(raw_lines)
    customers = json.loads(encode_json(stats))["customers"]
    assert next(iter(customers)) == "worst"
    assert (customers["worst"]["requests"], customers["worst"]["refused"]) == (3, 2)
    assert "and 2 that lost a smaller share" in format_text(stats)

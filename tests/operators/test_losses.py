"""The tables of lost worth: golden pages, totals, wrong use, input that is broken."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.golden import check_cases
from wisteriastair.operators.losscount import Losses
from wisteriastair.operators.losses import (
    LINES_A_LOOK,
    PROGRESS_S,
    count_losses,
    parse_aims,
    run_losses,
)
from wisteriastair.operators.losstables import (
    MAX_CUSTOMERS,
    MAX_PROGRAMS,
    as_json,
    as_text,
)
from wisteriastair.options import BadSetting

GOLDEN = Path(__file__).parent / "golden" / "losses.txt"


def request_line(at: float = 100.0, status: int = 200, **fields: Any) -> str:
    usual = {"time": at, "text": "request ended", "instance": "relay-lac-1"}
    rest = {"status": status, "took_ms": 10.0, "left_ms": 900, "sent": status != 503}
    return json.dumps({**usual, **rest, **fields})


def count(raw: list[str], aims: str = "", step_s: float = 2.0) -> Losses:
    parsed = parse_aims(aims)
    assert not isinstance(parsed, BadSetting)
    return count_losses(raw, parsed, step_s)


def run(given: str) -> str:
    aims, *raw = given.split("\n")
    return as_text(count(raw, aims.removeprefix("aims").strip()))


def test_golden_pages() -> None:
    check_cases(GOLDEN, run)


def test_every_line_is_counted_once_in_each_table() -> None:
    raw = GOLDEN.read_text("utf-8").splitlines()
    data = json.loads(as_json(count(raw, "turn=1")))
    lines = data["lines"]
    no_lines = sum(lines["no_lines"].values())
    assert lines["read"] == len(raw)
    assert lines["requests"] + lines["others"] + no_lines == lines["read"]
    for table in (data["reasons"], data["times"], data["instances"].values()):
        assert sum(row["requests"] for row in table) == lines["requests"]
    good = ("in time", "answered")
    rows = [row for row in data["reasons"] if row["outcome"] not in good]
    assert sum(row["requests"] for row in rows) == data["lost"]
    programs = sum(row["requests"] for row in data["programs"].values())
    assert programs + data["lost_without_program"] == data["lost"]


def test_a_programs_first_loss_is_the_first_in_time_not_in_the_files() -> None:
    late = request_line(108.0, 502, program="p1", request="q2", reason="odd")
    early = request_line(103.0, 503, program="p1", request="q1")
    group = count([late, early]).programs["p1"]
    assert (group.first.request, group.counts.total()) == ("q1", 2)


def test_a_cut_explains_only_its_instance_and_the_moment_behind_it() -> None:
    cut = '{"time":100,"text":"stopped before all was done","instance":"relay-lac-1"}'
    text = "request broken off"
    raw = [
        cut,
        request_line(100.1, 0, text=text),
        request_line(101.5, 0, text=text),
        request_line(100.1, 0, text=text, instance="relay-lac-2"),
    ]
    rows = {str(end.why): g.counts.total() for end, g in count(raw).rows.items()}
    assert rows == {"relay stopping": 1, "caller left": 2}


def test_what_is_kept_does_not_grow_with_lines() -> None:
    losses = count([request_line(100.0, program=f"p{n}") for n in range(500)])
    assert losses.requests == 500
    kept = losses.rows, losses.steps, losses.instances, losses.programs
    assert [len(each) for each in kept] == [1, 1, 1, 0]


def test_the_page_names_some_programs_and_says_how_many_more() -> None:
    raw = [request_line(100.0 + n, 500, program=f"p{n}") for n in range(30)]
    page = as_text(count(raw))
    assert f"and {30 - MAX_PROGRAMS} later ones" in page
    assert len(json.loads(as_json(count(raw)))["programs"]) == 30


def test_times_that_no_clock_shows_are_damage() -> None:
    losses = count([request_line(-1.0), request_line(1e300)])
    assert (losses.requests, losses.no_lines.total()) == (0, 2)
    as_text(losses)


@pytest.mark.parametrize("bad", ["turn", "turn=x", "=3", "turn=0", "turn=nan", "a=1,"])
def test_a_bad_aim_names_itself(bad: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_losses([], bad, 2.0, False) == 2
    told = capsys.readouterr().err
    assert repr(bad.split(",")[-1]) in told
    assert told.count("\n") == 1


def test_two_aims_for_a_route_are_wrong() -> None:
    assert isinstance(parse_aims("turn=1,turn=2"), BadSetting)
    assert parse_aims("turn=1,a=b=0.5") == {"turn": 1.0, "a=b": 0.5}


@pytest.mark.parametrize("every", [0.0, -1.0, float("nan"), float("inf")])
def test_a_bad_step_names_itself(
    every: float, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_losses([], "", every, False) == 2
    assert "every" in capsys.readouterr().err


def test_a_file_that_cannot_be_read_is_named(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    for path in (tmp_path / "none.log", tmp_path):
        assert run_losses([str(path)], "", 2.0, False) == 2
        assert str(path) in capsys.readouterr().err


@pytest.mark.parametrize(("aim", "status"), [("", 0), ("turn=1", 0), ("turn=0.001", 1)])
def test_the_status_says_whether_worth_was_lost(
    aim: str, status: int, tmp_path: Path
) -> None:
    log = tmp_path / "relay.log"
    log.write_text(request_line(route="turn"))
    assert run_losses([str(log)], aim, 2.0, True) == status


def test_progress_is_told_now_and_then(capsys: pytest.CaptureFixture[str]) -> None:
    # A look at the clock takes a second, so that one word in five is due.
    seconds = iter(range(100))
    raw = [request_line()] * (LINES_A_LOOK * 12)
    count_losses(raw, {}, 2.0, clock=lambda: float(next(seconds)))
    told = capsys.readouterr().err.splitlines()
    assert PROGRESS_S == 5.0
    assert told[0] == f"wisteriastair: {LINES_A_LOOK * 5} lines read"
    assert len(told) == 2


def test_the_command_reads_standard_input_with_foreign_bytes() -> None:
    command = [sys.executable, "-m", "wisteriastair", "losses"]
    command += ["--aim", "turn=0.001", "--aim", "chat=1", "--json"]
    given = b"\xff\xfe sing\n" + request_line(route="turn").encode()
    done = subprocess.run(command, input=given, capture_output=True, check=False)
    data = json.loads(done.stdout)
    assert done.returncode == 1, done.stderr
    assert data["aims"] == {"turn": 0.001, "chat": 1.0}
    assert (data["lines"]["read"], data["lost"]) == (2, 1)


def test_customers_that_lose_most_come_first() -> None:
    """One of many customers is refused more than the rest: the page begins with it."""
    raw = [request_line(customer=f"c{n}") for n in range(MAX_CUSTOMERS + 1)]
    raw += [request_line(status=429, sent=False, customer="worst")] * 2
    raw.append(request_line(customer="worst"))
    losses = count(raw)
    customers = json.loads(as_json(losses))["customers"]
    assert next(iter(customers)) == "worst"
    assert (customers["worst"]["requests"], customers["worst"]["refused"]) == (3, 2)
    assert "and 2 that lost a smaller share" in as_text(losses)

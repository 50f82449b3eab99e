"""Daemons as real processes: programs, the operators' client, traces, stops."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from wisteriastair.standins.deployment import (
    CALLER_TOKEN,
    OPERATOR_TOKEN,
    Deployment,
    read_example,
)
from wisteriastair.standins.script import final_answer

EXAMPLE = Path(__file__).parents[2] / "examples" / "office.toml"
TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    running = Deployment(read_example(EXAMPLE), tmp_path_factory.mktemp("office"))
    try:
        running.start()
        running.wait_revision(running.configure())
        yield running
    finally:
        running.stop()


def post_program(deployment: Deployment, key: str, entry: int = 0) -> Any:
    program = deployment.example["program"]
    response = httpx.post(
        f"{deployment.entry_urls()[entry]}/v1/programs",
        json={"service": program["service"], "prompt": program["prompt"]},
        headers={
            "authorization": f"Bearer {CALLER_TOKEN}",
            "idempotency-key": key,
        },
        timeout=TIMEOUT_S,
    )
    return response.json()


def ctl(deployment: Deployment, *words: str) -> subprocess.CompletedProcess[str]:
    flags = ["--url", deployment.entry_urls()[0], "--token", OPERATOR_TOKEN]
    return subprocess.run(
        [sys.executable, "-m", "wisteriastair", "ctl", *flags, *words],
        capture_output=True,
        text=True,
        check=False,
    )


def test_both_entries_return_the_complete_answer(
    deployment: Deployment,
) -> None:
    expected = final_answer(deployment.example["program"]["prompt"])
    first = post_program(deployment, "k1")
    assert first["answer"] == expected
    assert post_program(deployment, "k1", entry=1) == first


def test_each_hop_has_a_span_in_one_trace(deployment: Deployment) -> None:
    post_program(deployment, "k2")
    lines = (deployment.folder / "spans.jsonl").read_text("utf-8").splitlines()
    spans = [json.loads(line) for line in lines]
    by_trace: dict[str, set[str]] = {}
    for span in spans:
        by_trace.setdefault(span["trace"], set()).add(span["name"])
    expected_names = {"entry start", "carrier", "gate engine", "gate service"}
    assert any(expected_names <= names for names in by_trace.values())


def test_ctl_prints_tables_json_and_errors(deployment: Deployment) -> None:
    table = ctl(deployment, "show", "servers")
    assert table.returncode == 0
    assert "jigsaw-1" in table.stdout
    as_json = ctl(deployment, "show", "config", "--json")
    assert json.loads(as_json.stdout)["columns"][0] == "revision"
    wrong = ctl(deployment, "show", "everything")
    assert wrong.returncode == 1
    assert "     ^" in wrong.stderr
    outdated = ctl(deployment, "set", "service", "appraisal", "budget", "9", "if",
                "revision", "1")  # fmt: skip
    assert outdated.returncode == 1
    assert "conflict" in outdated.stderr


def test_planned_stop_of_a_side_process_ends_by_itself(
    deployment: Deployment,
) -> None:
    """After a fourth side process has started, the first leaves and exits with 0."""
    server = deployment.example["servers"][0]
    victim = f"side-{server['name']}"
    deployment.start_bare_side(server["domain"])
    deployment.signal(victim, signal.SIGTERM)
    popen = deployment.processes[victim].popen
    assert popen.wait(TIMEOUT_S) == 0
    deployment.remove_instance(victim)
    del deployment.processes[victim]
    expected = final_answer(deployment.example["program"]["prompt"])
    assert post_program(deployment, "k3")["answer"] == expected


@pytest.mark.parametrize(
    ("flag", "value", "allowed"),
    [
        ("--listen", "here", "IP:PORT"),
        ("--platform-url", "kv", "http(s)://"),
        ("--slots", "0", "1 to"),
        ("--router", "magic", "cost, round-robin"),
        ("--models", "m1", "NAME=http"),
    ],
)
def test_wrong_setting_ends_with_one_clear_line(
    flag: str, value: str, allowed: str
) -> None:
    args = {
        "--listen": "127.0.0.1:7001",
        "--http": "127.0.0.1:7002",
        "--domain": "lac",
        "--platform-url": "http://127.0.0.1:7003",
    }
    args[flag] = value
    words = [word for pair in args.items() for word in pair]
    ended = subprocess.run(
        [sys.executable, "-m", "wisteriastair", "side", *words],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert len(ended.stderr.splitlines()) == 1
    assert flag in ended.stderr
    assert allowed in ended.stderr


def test_planned_stop_of_an_entry_ends_by_itself(deployment: Deployment) -> None:
    """An entry exits with 0 on SIGTERM; the other one continues to serve."""
    deployment.signal("entry-2", signal.SIGTERM)
    assert deployment.processes["entry-2"].popen.wait(TIMEOUT_S) == 0
    del deployment.processes["entry-2"]
    expected = final_answer(deployment.example["program"]["prompt"])
    assert post_program(deployment, "k4")["answer"] == expected

"""The demonstration: the complete path with the settings of both users."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Final

import httpx

from .deployment import (
    CALLER_TOKEN,
    Deployment,
    command_line,
    log_folder,
    read_example,
)
from .script import final_answer

EXAMPLES: Final = ("office", "ben-ammar")
TIMEOUT_S: Final = 60.0


def demo(*, examples: str = "examples", binary: str = "") -> int:
    """Show the complete path with the settings of both users, on stand-ins.

    Parameters
    ----------
    examples : str
        Folder of the deployment descriptions.
    binary : str
        Path of a built binary to run instead of this interpreter.
    """
    failure_count = 0
    for name in EXAMPLES:
        example = read_example(Path(examples) / f"{name}.toml")
        failure_count += _run_example(example, command_line(binary))
    print(
        "everything as expected"
        if failure_count == 0
        else f"{failure_count} things went wrong"
    )
    return 0 if failure_count == 0 else 1


def _run_example(example: dict[str, Any], command: tuple[str, ...]) -> int:
    name = example["name"]
    print(f"\n=== {name}: {', '.join(example['domains'])} ===")
    deployment = Deployment(example, log_folder() / f"demo-{name}", command)
    try:
        deployment.start()
        print(f"{len(deployment.processes)} processes run, slots are placed")
        revision = deployment.configure()
        deployment.wait_revision(revision)
        print(f"configuration {revision} is in force on every daemon")
        return (
            _run_program(deployment) + _run_call(deployment) + _show_tables(deployment)
        )
    finally:
        deployment.stop()


def _run_program(deployment: Deployment) -> int:
    """Start a program through one entry, join it through another, compare the ends."""
    program = deployment.example["program"]
    headers = {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "idempotency-key": "demo-1",
        "accept": "text/event-stream",
    }
    first, second = deployment.entry_urls()[:2]
    body = {"service": program["service"], "prompt": program["prompt"]}
    streamed, end = _read_stream(f"{first}/v1/programs", headers, body)
    headers["accept"] = "application/json"
    joined = httpx.post(
        f"{second}/v1/programs", json=body, headers=headers, timeout=TIMEOUT_S
    ).json()
    expected = final_answer(program["prompt"])
    print(f"  answer: {end['answer'][:60]}...")
    print(f"  {end['turns']} model calls, {end['spent']} tokens")
    checks = {
        "the answer is whole": end["answer"] == expected,
        "the stream ends with the answer": streamed.endswith(expected),
        "the same key through the other entry gives the same": joined == end,
        "nothing irreversible ran twice": _no_action_repeated(deployment),
    }
    return _report_checks(checks)


def _read_stream(
    url: str, headers: dict[str, str], body: dict[str, str]
) -> tuple[str, Any]:
    """Read the events of a program; return the streamed text and the final event."""
    text = ""
    event = ""
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=TIMEOUT_S
    ) as response:
        for line in response.iter_lines():
            if line.startswith("event: "):
                event = line.removeprefix("event: ")
            if not line.startswith("data: "):
                continue
            data = json.loads(line.removeprefix("data: "))
            if event == "text":
                text += data["text"]
            elif event in ("end", "error"):
                return text, data
            else:
                print(f"  {event}: {data}")
    return text, {}


def _no_action_repeated(deployment: Deployment) -> bool:
    """Return whether no service executed an operation on the same argument twice."""
    for server in deployment.example["servers"]:
        if server["kind"] != "plain":
            continue
        records = deployment.records(deployment.backends[server["name"]])
        executed = [(r["operation"], r["argument"]) for r in records]
        if len(executed) != len(set(executed)):
            return False
    return True


def _run_call(deployment: Deployment) -> int:
    call = deployment.example["call"]
    url = f"{deployment.entry_urls()[0]}/v1/call/{call['provider']}/{call['operation']}"
    headers = {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "idempotency-key": "slip-1",
        "x-repeatable": "true",
    }
    response = httpx.post(url, content=call["body"], headers=headers, timeout=TIMEOUT_S)
    print(f"  plain call: {response.json().get('answer')}")
    return _report_checks({"the plain call is answered": response.status_code == 200})


def _show_tables(deployment: Deployment) -> int:
    from ..operators.tables import Table, format_table

    for command in ("show servers", "show programs limit 8"):
        body = deployment.operate(command)
        print(f"  > {command}")
        rows = tuple(tuple(row) for row in body["rows"])
        table = format_table(Table(tuple(body["columns"]), rows, body["note"]))
        print("    " + table.replace("\n", "\n    "))
    return 0


def _report_checks(checks: dict[str, bool]) -> int:
    for text, passed in checks.items():
        print(f"  [{'ok' if passed else 'WRONG'}] {text}")
    return sum(1 for passed in checks.values() if not passed)

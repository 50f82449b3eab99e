"""The demonstration: the whole path with the settings of both users."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, Final

import httpx

from .deployment import (
    CALLER_TOKEN,
    Deployment,
    command_for,
    default_folder,
    read_example,
)
from .script import final_answer

EXAMPLES: Final = ("office", "ben-ammar")
TIMEOUT_S: Final = 60.0


def demo(*, examples: str = "examples", binary: str = "") -> int:
    """Show the whole path with both users' settings, on stand-ins.

    Parameters
    ----------
    examples : str
        Folder of the deployments.
    binary : str
        Path of a built binary to run instead of this interpreter.
    """
    wrong = 0
    for name in EXAMPLES:
        example = read_example(Path(examples) / f"{name}.toml")
        wrong += _show(example, command_for(binary))
    print("everything as expected" if wrong == 0 else f"{wrong} things went wrong")
    return 0 if wrong == 0 else 1


def _show(example: dict[str, Any], command: tuple[str, ...]) -> int:
    name = example["name"]
    print(f"\n=== {name}: {', '.join(example['domains'])} ===")
    deployment = Deployment(example, default_folder() / f"demo-{name}", command)
    try:
        deployment.start()
        print(f"{len(deployment.processes)} processes run, slots are placed")
        revision = deployment.configure()
        deployment.wait_revision(revision)
        print(f"configuration {revision} is in force on every daemon")
        return _run_program(deployment) + _run_call(deployment) + _look(deployment)
    finally:
        deployment.stop()


def _run_program(deployment: Deployment) -> int:
    """Start a program on one entry, join it on another, compare the answers."""
    program = deployment.example["program"]
    headers = {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "idempotency-key": "demo-1",
        "accept": "text/event-stream",
    }
    first, second = deployment.entries()[:2]
    body = {"service": program["service"], "prompt": program["prompt"]}
    streamed, answer = _read_stream(f"{first}/v1/programs", headers, body)
    headers["accept"] = "application/json"
    again = httpx.post(
        f"{second}/v1/programs", json=body, headers=headers, timeout=TIMEOUT_S
    ).json()
    expected = final_answer(program["prompt"])
    print(f"  answer: {answer['answer'][:60]}...")
    print(f"  {answer['turns']} model calls, {answer['spent']} tokens")
    checks = {
        "the answer is whole": answer["answer"] == expected,
        "the stream ends with the answer": streamed.endswith(expected),
        "the same key through the other entry gives the same": again == answer,
        "nothing irreversible ran twice": _ran_once(deployment),
    }
    return _report(checks)


def _read_stream(
    url: str, headers: dict[str, str], body: dict[str, str]
) -> tuple[str, Any]:
    """Read a program's events; return the streamed text and the end."""
    text = ""
    event = ""
    with httpx.stream(
        "POST", url, json=body, headers=headers, timeout=TIMEOUT_S
    ) as answer:
        for line in answer.iter_lines():
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


def _ran_once(deployment: Deployment) -> bool:
    """Whether no service executed the same operation on the same thing twice."""
    for server in deployment.example["servers"]:
        if server["kind"] != "plain":
            continue
        records = deployment.records(deployment.backends[server["name"]])
        done = [(r["operation"], r["argument"]) for r in records]
        if len(done) != len(set(done)):
            return False
    return True


def _run_call(deployment: Deployment) -> int:
    call = deployment.example["call"]
    url = f"{deployment.entries()[0]}/v1/call/{call['provider']}/{call['operation']}"
    headers = {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "idempotency-key": "slip-1",
        "x-repeatable": "true",
    }
    answer = httpx.post(url, content=call["body"], headers=headers, timeout=TIMEOUT_S)
    print(f"  plain call: {answer.json().get('answer')}")
    return _report({"the plain call is answered": answer.status_code == 200})


def _look(deployment: Deployment) -> int:
    from ..operators.tables import Table, format_table

    for command in ("show servers", "show programs limit 8"):
        body = deployment.operate(command)
        print(f"  > {command}")
        rows = tuple(tuple(row) for row in body["rows"])
        table = format_table(Table(tuple(body["columns"]), rows, body["note"]))
        print("    " + table.replace("\n", "\n    "))
    return 0


def _report(checks: dict[str, bool]) -> int:
    for text, holds in checks.items():
        print(f"  [{'ok' if holds else 'WRONG'}] {text}")
    return sum(1 for holds in checks.values() if not holds)

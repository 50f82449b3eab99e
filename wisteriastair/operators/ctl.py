"""The operators' command-line client."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Any, Final

import httpx

from .tables import Table, format_table

CONNECT_S: Final = 3.0
ANSWER_S: Final = 30.0
EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_NO_ANSWER: Final = 3


def run_command(
    command: str, *, url: str, token: str, as_json: bool, change: str, ca_file: str
) -> int:
    """Send one command to an entry and print the answer.

    Parameters
    ----------
    command : str
        The command's text.
    url : str
        Base URL of any entry.
    token : str
        The operator's bearer token.
    as_json : bool
        Print the answer's JSON instead of a table.
    change : str
        Id of the change, to repeat a command whose answer was lost; empty for a new
        one.
    ca_file : str
        Certificate of the authority that signed the entry's; empty for the system's.

    Returns
    -------
    int
        Exit status: 0 done, 1 refused, 3 no answer.
    """
    change = change or uuid.uuid4().hex
    timeout = httpx.Timeout(ANSWER_S, connect=CONNECT_S)
    try:
        answer = httpx.post(
            f"{url}/v1/operate",
            json={"command": command, "change": change},
            headers={"authorization": f"Bearer {token}"},
            timeout=timeout,
            verify=ca_file or True,
        )
        body = answer.json()
    except (httpx.HTTPError, json.JSONDecodeError) as exc:
        print(f"no answer from {url}: {exc!r}", file=sys.stderr)
        print(f"to ask again safely: --change {change}", file=sys.stderr)
        return EXIT_NO_ANSWER
    if as_json:
        print(json.dumps(body))
    if answer.status_code != httpx.codes.OK:
        if not as_json:
            _print_refusal(command, body)
        return EXIT_REFUSED
    if not as_json:
        print(_readable(body))
    return EXIT_OK


def _readable(body: dict[str, Any]) -> str:
    if "columns" in body:
        rows = tuple(tuple(row) for row in body["rows"])
        return format_table(Table(tuple(body["columns"]), rows, body["note"]))
    return f"accepted at revision {body['revision']} (change {body['change']})"


def _print_refusal(command: str, body: dict[str, Any]) -> None:
    column = body.get("column", 0)
    if column:
        print(command, file=sys.stderr)
        print(" " * (column - 1) + "^", file=sys.stderr)
    print(f"{body['code']}: {body['detail']} (ran: {body['ran']})", file=sys.stderr)

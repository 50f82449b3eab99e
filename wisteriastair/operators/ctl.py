"""The operators' command-line client."""

from __future__ import annotations

import json
import sys
import uuid
from typing import Any, Final

import httpx

from .tables import Table, format_table

CONNECT_TIMEOUT_S: Final = 3.0
RESPONSE_TIMEOUT_S: Final = 30.0
EXIT_OK: Final = 0
EXIT_REJECTED: Final = 1
EXIT_NO_RESPONSE: Final = 3


def run_command(
    command: str,
    *,
    url: str,
    token: str,
    json_output: bool,
    change_id: str,
    ca_file: str,
) -> int:
    """Send one command to an entry and print the response.

    Parameters
    ----------
    command : str
        The command's text.
    url : str
        Base URL of any entry.
    token : str
        The operator's bearer token.
    json_output : bool
        Print the JSON body of the response instead of a table.
    change_id : str
        Id of the change, to repeat a command whose response was lost; empty for a
        new id.
    ca_file : str
        Certificate of the authority that signed the entry's certificate; empty for
        the authorities of the system.

    Returns
    -------
    int
        Exit status: 0 if the command succeeded, 1 if it was rejected, 3 if there was
        no valid response.
    """
    change_id = change_id or uuid.uuid4().hex
    timeout = httpx.Timeout(RESPONSE_TIMEOUT_S, connect=CONNECT_TIMEOUT_S)
    try:
        response = httpx.post(
            f"{url}/v1/operate",
            json={"command": command, "change": change_id},
            headers={"authorization": f"Bearer {token}"},
            timeout=timeout,
            verify=ca_file or True,
        )
        body = response.json()
    except (httpx.HTTPError, json.JSONDecodeError) as exc:
        print(f"no answer from {url}: {exc!r}", file=sys.stderr)
        print(f"to ask again safely: --change {change_id}", file=sys.stderr)
        return EXIT_NO_RESPONSE
    if json_output:
        print(json.dumps(body))
    if response.status_code != httpx.codes.OK:
        if not json_output:
            _print_error(command, body)
        return EXIT_REJECTED
    if not json_output:
        print(_format_body(body))
    return EXIT_OK


def _format_body(body: dict[str, Any]) -> str:
    if "columns" in body:
        rows = tuple(tuple(row) for row in body["rows"])
        return format_table(Table(tuple(body["columns"]), rows, body["note"]))
    return f"accepted at revision {body['revision']} (change {body['change']})"


def _print_error(command: str, body: dict[str, Any]) -> None:
    column = body.get("column", 0)
    if column:
        print(command, file=sys.stderr)
        print(" " * (column - 1) + "^", file=sys.stderr)
    print(f"{body['code']}: {body['detail']} (ran: {body['ran']})", file=sys.stderr)

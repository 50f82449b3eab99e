"""The operators' HTTP interface: ``POST /v1/operate`` with one command.

The body is ``{"command": TEXT, "change": ID}``.  The id makes a change idempotent: if
the response is lost, the operator sends the same command with the same id again, and
the change is applied at most once.
"""

from __future__ import annotations

import logging
import uuid
from typing import Final

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from ..callers.api import read_body
from ..callers.auth import owner_of_token
from ..callers.gateway import Gateway
from ..decoding import DECODE_ERRORS
from ..errors import Code, Failure, error_body, http_status
from .language import Edit, EditService, Explain, Show, build_change, parse
from .tables import (
    Table,
    config_table,
    filter_table,
    instance_table,
    program_table,
    server_table,
    service_table,
    slot_table,
)

MAX_COMMAND_BYTES: Final = 64_000
MAX_LISTED_PROGRAMS: Final = 1_000

log = logging.getLogger(__name__)


class CommandBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a request with a command."""

    command: str
    change: str = ""


class OperatorApi:
    """Handlers of the operators' interface.

    Parameters
    ----------
    gateway : Gateway
        The entry that executes the commands.
    tokens : dict of str to str
        Bearer token of each operator.
    """

    def __init__(self, gateway: Gateway, tokens: dict[str, str]) -> None:
        self._gateway = gateway
        self._tokens = tokens

    def routes(self) -> list[Route]:
        """Return the routes of the interface."""
        return [Route("/v1/operate", self.operate, methods=["POST"])]

    async def operate(self, req: Request) -> Response:
        """Execute one command."""
        operator = owner_of_token(req, self._tokens)
        if not operator:
            failure = Failure(Code.UNAUTHORIZED, "no bearer token of an operator")
            return _error_response(failure)
        body = await read_body(req, MAX_COMMAND_BYTES)
        if isinstance(body, Failure):
            return _error_response(body)
        try:
            command_body = msgspec.json.decode(body, type=CommandBody)
        except (*DECODE_ERRORS, UnicodeDecodeError) as exc:
            return _error_response(Failure(Code.BAD_REQUEST, str(exc)))
        command = parse(command_body.command)
        match command:
            case Failure():
                return _error_response(command)
            case Show():
                return _table_response(await self._show(command))
            case Explain():
                return _table_response(await self._explain(command))
            case EditService() | Edit():
                change_id = command_body.change or uuid.uuid4().hex
                log.info(
                    "command: %s", command_body.command, extra={"operator": operator}
                )
                return await self._edit(command, change_id)

    async def _show(self, show: Show) -> Table | Failure:
        revision, config = self._gateway.config()
        match show.noun:
            case "programs":
                listed = await self._gateway.list_programs("", MAX_LISTED_PROGRAMS)
                table = program_table(listed.rows, listed.missing)
            case "services":
                table = service_table(config)
            case "servers":
                table = server_table(config, self._gateway.instances())
            case "slots":
                table = slot_table(self._gateway.slot_rows())
            case "instances":
                table = instance_table(self._gateway.instances())
            case _:
                table = config_table(revision, config)
        return filter_table(table, show.conditions, show.limit)

    async def _explain(self, explain: Explain) -> Table | Failure:
        """Return the fields of a program and its sub-agents, one field per row."""
        listed = await self._gateway.list_programs("", MAX_LISTED_PROGRAMS)
        family_rows = [
            row
            for row in listed.rows
            if row.program == explain.program
            or row.program.startswith(explain.program + ".")
        ]
        if not family_rows:
            return Failure(Code.UNKNOWN_PROGRAM, f"no program {explain.program}")
        cells = tuple(
            (row.program, name, str(value))
            for row in family_rows
            for name, value in zip(row._fields[1:], row[1:], strict=True)
        )
        return Table(("program", "fact", "value"), cells)

    async def _edit(self, command: EditService | Edit, change_id: str) -> Response:
        outcome = await self._gateway.change(
            change_id,
            lambda config: build_change(command, change_id, config.services),
            command.expected,
        )
        if isinstance(outcome, Failure):
            return _error_response(outcome)
        return JSONResponse({"revision": outcome, "change": change_id})


def _table_response(table: Table | Failure) -> Response:
    if isinstance(table, Failure):
        return _error_response(table)
    body = {"columns": table.columns, "rows": table.rows, "note": table.note}
    return JSONResponse(body)


def _error_response(failure: Failure) -> Response:
    body = {**error_body(failure), "column": failure.column}
    return JSONResponse(body, status_code=http_status(failure.code))

"""The operators' HTTP interface: ``POST /v1/operate`` with one command.

The body is ``{"command": TEXT, "change": ID}``.  The id makes a change idempotent: an
operator who lost the answer sends the same command with the same id again, and it is
made at most once.
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
from ..errors import Code, Failure, error_body, http_status
from .language import Edit, EditService, Explain, Show, change_of, parse
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
LIST_LIMIT: Final = 1_000

log = logging.getLogger(__name__)


class OperateBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a command."""

    command: str
    change: str = ""


class OperatorApi:
    """Routes of the operators' interface.

    Parameters
    ----------
    gateway : Gateway
        The entry behind it.
    tokens : dict of str to str
        Token of each operator.
    """

    def __init__(self, gateway: Gateway, tokens: dict[str, str]) -> None:
        self._gateway = gateway
        self._tokens = tokens

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [Route("/v1/operate", self.operate, methods=["POST"])]

    async def operate(self, http: Request) -> Response:
        """Carry out one command."""
        operator = owner_of_token(http, self._tokens)
        if not operator:
            failure = Failure(Code.UNAUTHORIZED, "no bearer token of an operator")
            return _refusal(failure)
        body = await read_body(http, MAX_COMMAND_BYTES)
        if isinstance(body, Failure):
            return _refusal(body)
        try:
            operate = msgspec.json.decode(body, type=OperateBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            return _refusal(Failure(Code.BAD_REQUEST, str(exc)))
        command = parse(operate.command)
        match command:
            case Failure():
                return _refusal(command)
            case Show():
                return _table_answer(await self._show(command))
            case Explain():
                return _table_answer(await self._explain(command))
            case EditService() | Edit():
                change_id = operate.change or uuid.uuid4().hex
                log.info("command: %s", operate.command, extra={"operator": operator})
                return await self._edit(command, change_id)

    async def _show(self, show: Show) -> Table | Failure:
        revision, config = self._gateway.config()
        match show.noun:
            case "programs":
                listed = await self._gateway.list_programs("", LIST_LIMIT)
                table = program_table(listed.rows, listed.missing)
            case "services":
                table = service_table(config)
            case "servers":
                table = server_table(config, self._gateway.instances())
            case "slots":
                table = slot_table(self._gateway.rows())
            case "instances":
                table = instance_table(self._gateway.instances())
            case _:
                table = config_table(revision, config)
        return filter_table(table, show.conditions, show.limit)

    async def _explain(self, explain: Explain) -> Table | Failure:
        """List a program and its sub-agents, a fact a line."""
        listed = await self._gateway.list_programs("", LIST_LIMIT)
        family = [
            row
            for row in listed.rows
            if row.program == explain.program
            or row.program.startswith(explain.program + ".")
        ]
        if not family:
            return Failure(Code.UNKNOWN_PROGRAM, f"no program {explain.program}")
        facts = tuple(
            (row.program, name, str(value))
            for row in family
            for name, value in zip(row._fields[1:], row[1:], strict=True)
        )
        return Table(("program", "fact", "value"), facts)

    async def _edit(self, command: EditService | Edit, change_id: str) -> Response:
        outcome = await self._gateway.change(
            change_id,
            lambda config: change_of(command, change_id, config.services),
            command.expected,
        )
        if isinstance(outcome, Failure):
            return _refusal(outcome)
        return JSONResponse({"revision": outcome, "change": change_id})


def _table_answer(table: Table | Failure) -> Response:
    if isinstance(table, Failure):
        return _refusal(table)
    body = {"columns": table.columns, "rows": table.rows, "note": table.note}
    return JSONResponse(body)


def _refusal(failure: Failure) -> Response:
    body = {**error_body(failure), "column": failure.column}
    return JSONResponse(body, status_code=http_status(failure.code))

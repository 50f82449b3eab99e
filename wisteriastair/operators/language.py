"""Parsing the operators' query and command language.

The grammar stands in ``language.lark``.  A text becomes one typed command, or a
failure that points at the column and says what was expected there.
"""

from __future__ import annotations

from importlib.resources import files
from typing import Any, Final, NamedTuple

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from ..core.config import (
    Change,
    DropServer,
    DropService,
    PutServer,
    PutService,
    Server,
    Service,
    SetServerState,
    Tool,
)
from ..errors import Code, Failure

DEFAULT_LIMIT: Final = 50
WHOLE_NUMBERS: Final = ("budget", "priority", "max_turns", "max_tokens")


class Condition(NamedTuple):
    """One comparison of a query."""

    field: str
    operator: str
    value: str


class Show(NamedTuple):
    """A query."""

    noun: str
    conditions: tuple[Condition, ...]
    limit: int


class Explain(NamedTuple):
    """Ask for everything known of one program."""

    program: str


class Setting(NamedTuple):
    """One setting of a service."""

    name: str
    value: Any


class EditService(NamedTuple):
    """Create a service, or change some of its settings."""

    create: bool
    name: str
    settings: tuple[Setting, ...]
    expected: int


class Edit(NamedTuple):
    """Any other change, complete but for its id."""

    change: Change
    expected: int


Command = Show | Explain | EditService | Edit


class _Builder(Transformer[Token, Any]):
    """Builds commands from the parse tree."""

    def start(self, items: list[Any]) -> Any:
        return items[0]

    def show(self, items: list[Any]) -> Show:
        conditions: tuple[Condition, ...] = ()
        limit = DEFAULT_LIMIT
        for item in items[1:]:
            if isinstance(item, int):
                limit = item
            else:
                conditions = item
        return Show(str(items[0]), conditions, limit)

    def where(self, items: list[Any]) -> tuple[Condition, ...]:
        return tuple(items)

    def condition(self, items: list[Any]) -> Condition:
        return Condition(str(items[0]), str(items[1]), items[2])

    def limit(self, items: list[Any]) -> int:
        return int(float(items[0]))

    def value(self, items: list[Any]) -> str:
        return str(items[0]).strip('"')

    def explain(self, items: list[Any]) -> Explain:
        return Explain(str(items[0]))

    def names(self, items: list[Any]) -> tuple[str, ...]:
        return tuple(str(item) for item in items)

    def number_setting(self, items: list[Any]) -> Setting:
        name = str(items[0])
        number = float(items[1])
        return Setting(name, int(number) if name in WHOLE_NUMBERS else number)

    def models(self, items: list[Any]) -> Setting:
        return Setting("models", items[0])

    def tool(self, items: list[Any]) -> Setting:
        tool = Tool(str(items[0]), str(items[1]), str(items[2]) == "repeatable")
        return Setting("tools", tool)

    def guard(self, items: list[Any]) -> int:
        return int(float(items[0]))

    def create(self, items: list[Any]) -> EditService:
        return self._edit(items, create=True)

    def set(self, items: list[Any]) -> EditService:
        return self._edit(items, create=False)

    def _edit(self, items: list[Any], *, create: bool) -> EditService:
        settings = tuple(item for item in items if isinstance(item, Setting))
        return EditService(create, str(items[0]), settings, _guard_of(items))

    def drop(self, items: list[Any]) -> Edit:
        return Edit(DropService("", str(items[0])), _guard_of(items))

    def declare(self, items: list[Any]) -> Edit:
        server = Server(str(items[0]), str(items[1]), items[2])
        return Edit(PutServer("", server), _guard_of(items))

    def state(self, items: list[Any]) -> Edit:
        state = "active" if str(items[0]) == "rejoin" else "leaving"
        return Edit(SetServerState("", str(items[1]), state), _guard_of(items))

    def forget(self, items: list[Any]) -> Edit:
        return Edit(DropServer("", str(items[0])), _guard_of(items))


def _guard_of(items: list[Any]) -> int:
    last = items[-1]
    return last if isinstance(last, int) else 0


_PARSER: Final = Lark(
    files(__package__).joinpath("language.lark").read_text("utf-8"),
    parser="lalr",
    maybe_placeholders=False,
)


def parse(text: str) -> Command | Failure:
    """Parse one command."""
    try:
        command: Command = _Builder().transform(_PARSER.parse(text))
    except UnexpectedInput as exc:
        return _syntax_failure(text, exc)
    except VisitError as exc:
        return Failure(Code.SYNTAX, str(exc.orig_exc))
    return command


def _syntax_failure(text: str, exc: UnexpectedInput) -> Failure:
    expected: set[str] = set()
    if isinstance(exc, UnexpectedToken):
        expected = exc.accepts or set(exc.expected)
    elif isinstance(exc, UnexpectedCharacters):
        expected = set(exc.allowed or ())
    # At the end of the text the parser names the place of the last token.
    at_end = isinstance(exc, UnexpectedToken) and exc.token.type == "$END"
    column = len(text.rstrip()) + 1 if at_end else exc.column
    words = ", ".join(sorted(_spell(name) for name in expected))
    detail = f"column {column}: expected {words or 'a command'}"
    return Failure(Code.SYNTAX, detail, column=column)


def _spell(terminal: str) -> str:
    """Name a terminal as a person would type it."""
    if terminal == "$END":
        return "the end"
    for definition in _PARSER.terminals:
        if definition.name == terminal and definition.pattern.type == "str":
            return f"'{definition.pattern.value}'"
    known = {
        "NOUN": "programs/services/servers/slots/instances/config",
        "KIND": "model/plain",
        "STATE": "leave/stop/rejoin",
        "REPEAT": "once/repeatable",
        "OPERATOR": "a comparison",
        "NUMBER": "a number",
        "NAME": "a name",
        "STRING": "a quoted text",
        "NUMBER_SETTING": "a setting",
        "COMMA": "','",
    }
    return known.get(terminal, terminal.lower())


def edited_service(edit: EditService, present: Service | None) -> Service:
    """Apply the settings of an edit; several ``tool`` settings add up."""
    service = present if present is not None else Service(edit.name)
    tools = {tool.name: tool for tool in service.tools}
    for setting in edit.settings:
        if setting.name == "tools":
            tools[setting.value.name] = setting.value
        else:
            service = service._replace(**{setting.name: setting.value})
    return service._replace(tools=tuple(tools.values()))


def change_of(
    command: EditService | Edit, change_id: str, services: dict[str, Service]
) -> Change:
    """Complete a command into a change."""
    if isinstance(command, Edit):
        return command.change._replace(change=change_id)
    service = edited_service(command, services.get(command.name))
    return PutService(change_id, command.create, service)

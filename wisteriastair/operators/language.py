"""Parser of the operators' query and command language.

The grammar is in ``language.lark``.  A text is parsed into one typed command, or into a
failure with the column of the error and the tokens expected there.
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
INTEGER_SETTINGS: Final = ("budget", "priority", "max_turns", "max_tokens")


class Condition(NamedTuple):
    """One comparison of a query."""

    field: str
    operator: str
    value: str


class Show(NamedTuple):
    """A query that lists one kind of object."""

    noun: str
    conditions: tuple[Condition, ...]
    limit: int


class Explain(NamedTuple):
    """A query for all fields of one program and its sub-agents."""

    program: str


class Setting(NamedTuple):
    """One setting of a service."""

    name: str
    value: Any


class EditService(NamedTuple):
    """A command that creates a service or changes some of its settings."""

    create: bool
    name: str
    settings: tuple[Setting, ...]
    expected: int


class Edit(NamedTuple):
    """A command with any other change; the id of the change is still empty."""

    change: Change
    expected: int


Command = Show | Explain | EditService | Edit


class _CommandBuilder(Transformer[Token, Any]):
    """Builds a command from the parse tree, with one method for each rule."""

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
        return Setting(name, int(number) if name in INTEGER_SETTINGS else number)

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
        return EditService(create, str(items[0]), settings, _expected_revision(items))

    def drop(self, items: list[Any]) -> Edit:
        return Edit(DropService("", str(items[0])), _expected_revision(items))

    def declare(self, items: list[Any]) -> Edit:
        server = Server(str(items[0]), str(items[1]), items[2])
        return Edit(PutServer("", server), _expected_revision(items))

    def state(self, items: list[Any]) -> Edit:
        state = "active" if str(items[0]) == "rejoin" else "leaving"
        return Edit(SetServerState("", str(items[1]), state), _expected_revision(items))

    def forget(self, items: list[Any]) -> Edit:
        return Edit(DropServer("", str(items[0])), _expected_revision(items))


def _expected_revision(items: list[Any]) -> int:
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
        command: Command = _CommandBuilder().transform(_PARSER.parse(text))
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
    # At the end of the text the parser reports the position of the last token.
    at_end = isinstance(exc, UnexpectedToken) and exc.token.type == "$END"
    column = len(text.rstrip()) + 1 if at_end else exc.column
    expected_text = ", ".join(sorted(_describe_terminal(name) for name in expected))
    detail = f"column {column}: expected {expected_text or 'a command'}"
    return Failure(Code.SYNTAX, detail, column=column)


def _describe_terminal(terminal: str) -> str:
    """Return the description of a terminal for an error message."""
    if terminal == "$END":
        return "the end"
    for definition in _PARSER.terminals:
        if definition.name == terminal and definition.pattern.type == "str":
            return f"'{definition.pattern.value}'"
    descriptions = {
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
    return descriptions.get(terminal, terminal.lower())


def apply_settings(edit: EditService, current: Service | None) -> Service:
    """Apply settings; each ``tool`` setting adds or replaces one tool."""
    service = current if current is not None else Service(edit.name)
    tools = {tool.name: tool for tool in service.tools}
    for setting in edit.settings:
        if setting.name == "tools":
            tools[setting.value.name] = setting.value
        else:
            service = service._replace(**{setting.name: setting.value})
    return service._replace(tools=tuple(tools.values()))


def build_change(
    command: EditService | Edit, change_id: str, services: dict[str, Service]
) -> Change:
    """Build the change of a command, with its id."""
    if isinstance(command, Edit):
        return command.change._replace(change=change_id)
    service = apply_settings(command, services.get(command.name))
    return PutService(change_id, command.create, service)

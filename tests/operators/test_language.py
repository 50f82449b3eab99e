"""Parses and error messages of the operators' language, as golden cases."""

from __future__ import annotations

from pathlib import Path

from tests.golden import check_cases
from wisteriastair.errors import Failure
from wisteriastair.operators.language import parse

GOLDEN = Path(__file__).parent / "golden" / "language.txt"
MANUAL = Path(__file__).parents[2] / "docs" / "operators" / "language.md"


def parse_and_format(text: str) -> str:
    command = parse(text)
    if isinstance(command, Failure):
        return f"{' ' * (command.column - 1)}^\n{command.code}: {command.detail}"
    return repr(command)


def test_golden_language() -> None:
    check_cases(GOLDEN, parse_and_format)


def documented_commands() -> list[str]:
    """Return the commands in the manual; a line indented deeper continues a command."""
    commands: list[str] = []
    for line in MANUAL.read_text("utf-8").splitlines():
        if line.startswith("        ") and commands:
            commands[-1] += " " + line.strip()
        elif line.startswith("    "):
            commands.append(line.strip())
    return commands


def test_documented_commands_parse() -> None:
    commands = documented_commands()
    assert len(commands) > 10
    for command in commands:
        assert not isinstance(parse(command), Failure), command

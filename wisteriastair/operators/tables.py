"""Answers to queries, as tables."""

from __future__ import annotations

from typing import Any, Final, NamedTuple

from ..core.config import Config
from ..core.events import Instance
from ..core.replica import SlotRow
from ..core.wire import ProgramRow
from ..errors import Code, Failure
from .language import Condition

Cell = str | int | float


class Table(NamedTuple):
    """Columns and rows of an answer; ``note`` is a remark below it."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    note: str = ""


PROGRAM_COLUMNS: Final = ProgramRow._fields


def program_table(rows: tuple[ProgramRow, ...], missing: int) -> Table:
    """Programs; ``missing`` carriers did not answer."""
    note = f"{missing} carriers did not answer in time" if missing else ""
    cells = tuple(row._replace(age_s=round(row.age_s, 1)) for row in rows)
    return Table(PROGRAM_COLUMNS, cells, note)


def service_table(config: Config) -> Table:
    """Return the services of a configuration."""
    columns = ("service", "budget", "priority", "models", "tools", "waste_weight")
    rows = tuple(
        (
            s.name,
            s.budget,
            s.priority,
            ",".join(s.models),
            ",".join(t.name + ("" if t.repeatable else " (once)") for t in s.tools),
            s.waste_weight,
        )
        for s in config.services.values()
    )
    return Table(columns, rows)


def server_table(config: Config, instances: tuple[Instance, ...]) -> Table:
    """Backend servers, with the side process before each."""
    gates = {server: i for i in instances for server in i.servers}
    rows = []
    for server in config.servers.values():
        gate = gates.get(server.name)
        rows.append(
            (
                server.name,
                server.kind,
                ",".join(server.serves),
                "leaving" if gate is not None and gate.leaving else server.state,
                gate.domain if gate is not None else "",
                gate.address if gate is not None else "not listed",
            )
        )
    columns = ("server", "kind", "serves", "state", "domain", "gate")
    return Table(columns, tuple(rows))


def slot_table(rows: list[SlotRow]) -> Table:
    """Return the slot table."""
    columns = ("slot", "carrier", "standby", "epoch", "lost")
    cells = tuple(
        (r.slot, r.primary, r.standby or "none", r.epoch, str(r.lost).lower())
        for r in sorted(rows)
    )
    return Table(columns, cells)


def instance_table(instances: tuple[Instance, ...]) -> Table:
    """Return the instance list."""
    columns = ("instance", "role", "address", "domain", "leaving", "servers")
    rows = tuple(
        (
            i.name,
            i.role,
            i.address,
            i.domain,
            str(i.leaving).lower(),
            ",".join(i.servers),
        )
        for i in instances
    )
    return Table(columns, rows)


def config_table(revision: int, config: Config) -> Table:
    """Revision and size of the configuration in force."""
    columns = ("revision", "services", "servers", "newest_change")
    newest = config.changes[-1] if config.changes else ""
    row = (revision, len(config.services), len(config.servers), newest)
    return Table(columns, (row,))


def filter_table(
    table: Table, conditions: tuple[Condition, ...], limit: int
) -> Table | Failure:
    """Keep the rows that meet all conditions, at most ``limit`` of them."""
    for condition in conditions:
        if condition.field not in table.columns:
            names = ", ".join(table.columns)
            detail = f"no column '{condition.field}'; there are {names}"
            return Failure(Code.BAD_REQUEST, detail)
    kept = [
        row
        for row in table.rows
        if all(_holds(row[table.columns.index(c.field)], c) for c in conditions)
    ]
    note = table.note
    if len(kept) > limit:
        note = f"{len(kept) - limit} more rows; use limit"
    return Table(table.columns, tuple(kept[:limit]), note)


def _holds(cell: Cell, condition: Condition) -> bool:
    left: Any = cell
    right: Any = condition.value
    if not isinstance(cell, str):
        try:
            right = float(condition.value)
        except ValueError:
            return False
    match condition.operator:
        case "=":
            return bool(left == right)
        case "!=":
            return bool(left != right)
        case "<":
            return bool(left < right)
        case "<=":
            return bool(left <= right)
        case ">":
            return bool(left > right)
        case _:
            return bool(left >= right)


def format_table(table: Table) -> str:
    """Lay a table out for a terminal."""
    rows = [tuple(str(cell) for cell in row) for row in table.rows]
    widths = [
        max(len(name), *(len(row[n]) for row in rows)) if rows else len(name)
        for n, name in enumerate(table.columns)
    ]
    lines = [_line(table.columns, widths), _line(["-" * w for w in widths], widths)]
    lines += [_line(row, widths) for row in rows]
    if table.note:
        lines.append(f"({table.note})")
    return "\n".join(lines)


def _line(cells: tuple[str, ...] | list[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()

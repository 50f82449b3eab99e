"""Tables that answer the operators' queries."""

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
    """Columns and rows of a response; ``note`` is a remark printed below them."""

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...]
    note: str = ""


PROGRAM_COLUMNS: Final = ProgramRow._fields


def program_table(rows: tuple[ProgramRow, ...], missing: int) -> Table:
    """Return the table of programs.

    Parameters
    ----------
    rows : tuple of ProgramRow
        Programs of the primaries that responded.
    missing : int
        Number of primaries that did not respond in time.
    """
    note = f"{missing} carriers did not answer in time" if missing else ""
    cells = tuple(row._replace(age_s=round(row.age_s, 1)) for row in rows)
    return Table(PROGRAM_COLUMNS, cells, note)


def service_table(config: Config) -> Table:
    """Return the table of services."""
    columns = ("service", "budget", "priority", "models", "tools", "waste_weight")
    rows = tuple(
        (
            service.name,
            service.budget,
            service.priority,
            ",".join(service.models),
            ",".join(
                tool.name + ("" if tool.repeatable else " (once)")
                for tool in service.tools
            ),
            service.waste_weight,
        )
        for service in config.services.values()
    )
    return Table(columns, rows)


def server_table(config: Config, instances: tuple[Instance, ...]) -> Table:
    """Return the table of backend servers, with the side process of each."""
    gate_instances = {
        server: instance for instance in instances for server in instance.servers
    }
    rows = []
    for server in config.servers.values():
        gate_instance = gate_instances.get(server.name)
        rows.append(
            (
                server.name,
                server.kind,
                ",".join(server.serves),
                "leaving"
                if gate_instance is not None and gate_instance.leaving
                else server.state,
                gate_instance.domain if gate_instance is not None else "",
                gate_instance.address if gate_instance is not None else "not listed",
            )
        )
    columns = ("server", "kind", "serves", "state", "domain", "gate")
    return Table(columns, tuple(rows))


def slot_table(rows: list[SlotRow]) -> Table:
    """Return the table of slots."""
    columns = ("slot", "carrier", "standby", "epoch", "lost")
    cells = tuple(
        (row.slot, row.primary, row.standby or "none", row.epoch, str(row.lost).lower())
        for row in sorted(rows)
    )
    return Table(columns, cells)


def instance_table(instances: tuple[Instance, ...]) -> Table:
    """Return the table of instances."""
    columns = ("instance", "role", "address", "domain", "leaving", "servers")
    rows = tuple(
        (
            instance.name,
            instance.role,
            instance.address,
            instance.domain,
            str(instance.leaving).lower(),
            ",".join(instance.servers),
        )
        for instance in instances
    )
    return Table(columns, rows)


def config_table(revision: int, config: Config) -> Table:
    """Return the revision and size of the current configuration."""
    columns = ("revision", "services", "servers", "newest_change")
    newest = config.changes[-1] if config.changes else ""
    row = (revision, len(config.services), len(config.servers), newest)
    return Table(columns, (row,))


def filter_table(
    table: Table, conditions: tuple[Condition, ...], limit: int
) -> Table | Failure:
    """Filter a table.

    Parameters
    ----------
    table : Table
        The table.
    conditions : tuple of Condition
        Conditions that a row must all meet.
    limit : int
        Maximum number of rows.

    Returns
    -------
    Table or Failure
        A failure if a condition names an unknown column.
    """
    for condition in conditions:
        if condition.field not in table.columns:
            names = ", ".join(table.columns)
            detail = f"no column '{condition.field}'; there are {names}"
            return Failure(Code.BAD_REQUEST, detail)
    matching_rows = [
        row
        for row in table.rows
        if all(_matches(row[table.columns.index(c.field)], c) for c in conditions)
    ]
    note = table.note
    if len(matching_rows) > limit:
        note = f"{len(matching_rows) - limit} more rows; use limit"
    return Table(table.columns, tuple(matching_rows[:limit]), note)


def _matches(cell: Cell, condition: Condition) -> bool:
    cell_value: Any = cell
    operand: Any = condition.value
    if not isinstance(cell, str):
        try:
            operand = float(condition.value)
        except ValueError:
            return False
    match condition.operator:
        case "=":
            return bool(cell_value == operand)
        case "!=":
            return bool(cell_value != operand)
        case "<":
            return bool(cell_value < operand)
        case "<=":
            return bool(cell_value <= operand)
        case ">":
            return bool(cell_value > operand)
        case _:
            return bool(cell_value >= operand)


def format_table(table: Table) -> str:
    """Format a table as text with aligned columns."""
    rows = [tuple(str(cell) for cell in row) for row in table.rows]
    widths = [
        max(len(name), *(len(row[n]) for row in rows)) if rows else len(name)
        for n, name in enumerate(table.columns)
    ]
    lines = [
        _format_row(table.columns, widths),
        _format_row(["-" * w for w in widths], widths),
    ]
    lines += [_format_row(row, widths) for row in rows]
    if table.note:
        lines.append(f"({table.note})")
    return "\n".join(lines)


def _format_row(cells: tuple[str, ...] | list[str], widths: list[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return "  ".join(padded).rstrip()

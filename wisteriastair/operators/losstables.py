"""The tables of lost worth, for people and for scripts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from .endings import LOST, Ending, Outcome
from .losscount import Group, Losses
from .tables import Cell, Table, format_table

# Programs and customers that the page names; the JSON names all.
MAX_PROGRAMS: Final = 20
MAX_CUSTOMERS: Final = 20
PERCENT: Final = 100.0
OUTCOMES: Final = tuple(Outcome)
OUTCOME_COLUMNS: Final = ("requests", *(outcome.value for outcome in OUTCOMES))


def as_text(losses: Losses) -> str:
    """Tell the losses as tables for people."""
    began = _began(losses)
    parts = [_summary(losses, began), _reasons(losses, began)]
    parts.append(_aims(losses))
    if losses.requests:
        parts.append(_steps(losses, began))
        parts.append(_instances(losses))
    if losses.customers:
        parts.append(_customers(losses))
    if losses.programs:
        parts.append(_programs(losses, began))
    return "\n\n".join(parts)


def as_json(losses: Losses) -> str:
    """Tell the same as one JSON object; times in seconds since 1970."""
    steps = sorted(losses.steps.items())
    data = {
        "lines": {
            "read": losses.read,
            "requests": losses.requests,
            "others": losses.others,
            "no_lines": dict(losses.no_lines),
        },
        "lost": losses.lost(),
        "aims": losses.aims,
        "without_aim": sorted(losses.without_aim),
        "every_s": losses.step_s,
        "reasons": [
            {**_ending(end), "requests": group.counts.total(), **_first(group)}
            for end, group in _by_outcome(losses)
        ],
        "times": [{"at": n * losses.step_s, **_counts(group)} for n, group in steps],
        "instances": {
            name: _counts(group) for name, group in sorted(losses.instances.items())
        },
        "customers": {name: _counts(group) for name, group in _worst_first(losses)},
        "programs": {
            name: {**_ending(group.first.ending), **_first(group), **_counts(group)}
            for name, group in _by_first(losses)
        },
        "lost_without_program": losses.unnamed,
    }
    return msgspec.json.encode(data).decode()


def _ending(ending: Ending) -> dict[str, Any]:
    return {"outcome": ending.outcome.value, "why": ending.why.value}


def _first(group: Group) -> dict[str, Any]:
    return {"first_at": group.first.at, "first_request": group.first.request}


def _counts(group: Group) -> dict[str, Any]:
    counts = {outcome.value: group.counts[outcome] for outcome in OUTCOMES}
    return {"requests": group.counts.total(), **counts}


def _began(losses: Losses) -> float:
    """Seconds since 1970 at which the first row of the table by time begins."""
    return min(losses.steps, default=0) * losses.step_s


def _by_outcome(losses: Losses) -> list[tuple[Ending, Group]]:
    """Rows in the order of the outcomes, those with most requests first."""

    def place(row: tuple[Ending, Group]) -> tuple[int, int, str]:
        ending, group = row
        return OUTCOMES.index(ending.outcome), -group.counts.total(), ending.why

    return sorted(losses.rows.items(), key=place)


def _by_first(losses: Losses) -> list[tuple[str, Group]]:
    return sorted(losses.programs.items(), key=lambda row: (row[1].first.at, row[0]))


def _summary(losses: Losses, began: float) -> str:
    lost = losses.lost()
    told = [f"{losses.requests} requests, {lost} of them lost"]
    if losses.requests:
        since = datetime.fromtimestamp(began, UTC).isoformat(timespec="milliseconds")
        told[0] += f"; times are from {since}"
    none = losses.no_lines.total()
    told.append(
        f"{losses.read} lines read: {losses.requests} of requests, "
        f"{losses.others} others of the system, {none} that are none of its lines"
    )
    told += [f"  {n} x {what}" for what, n in sorted(losses.no_lines.items())]
    if losses.unnamed:
        told.append(f"{losses.unnamed} of the lost requests belong to no program")
    return "\n".join(told)


def _reasons(losses: Losses, began: float) -> str:
    rows: list[tuple[Cell, ...]] = []
    for ending, group in _by_outcome(losses):
        n = group.counts.total()
        share = f"{PERCENT * n / losses.requests:.1f} %"
        since = _since(group, began)
        request = group.first.request or "?"
        rows.append((ending.outcome, ending.why, n, share, since, request))
    rows.append(("total", "", losses.requests, "", "", ""))
    columns = ("outcome", "why", "requests", "share", "first", "first request")
    return _told(columns, rows)


def _aims(losses: Losses) -> str:
    told: list[str] = []
    for route, aim_s in losses.aims.items():
        unused = "" if route in losses.with_aim else "; no answer had this route"
        told.append(f"aim of {route}: {aim_s} s{unused}")
    if losses.without_aim:
        names = ", ".join(sorted(losses.without_aim))
        told.append(f"no aim, so whatever was answered counts as answered: {names}")
    return "\n".join(told) or "no aims, and no answers that would need one"


def _steps(losses: Losses, began: float) -> str:
    steps = sorted(losses.steps.items())
    named = ((f"{n * losses.step_s - began:+z.3f} s", group) for n, group in steps)
    return _outcomes("end of request", named)


def _instances(losses: Losses) -> str:
    return _outcomes("instance", sorted(losses.instances.items()))


def _worst_first(losses: Losses) -> list[tuple[str, Group]]:
    """Order customers by the share of their requests that was lost."""

    def place(row: tuple[str, Group]) -> tuple[float, str]:
        name, group = row
        lost = sum(group.counts[outcome] for outcome in LOST)
        return -lost / group.counts.total(), name

    return sorted(losses.customers.items(), key=place)


def _customers(losses: Losses) -> str:
    customers = _worst_first(losses)
    told = _outcomes("customer", customers[:MAX_CUSTOMERS])
    if len(customers) > MAX_CUSTOMERS:
        left = len(customers) - MAX_CUSTOMERS
        told += f"\nand {left} that lost a smaller share (--json has all)"
    return told


def _outcomes(title: str, named: Iterable[tuple[str, Group]]) -> str:
    rows: list[tuple[Cell, ...]] = []
    total: Counter[Outcome] = Counter()
    for name, group in named:
        rows.append((name, *_cells(group.counts)))
        total += group.counts
    rows.append(("total", *_cells(total)))
    return _told((title, *OUTCOME_COLUMNS), rows)


def _cells(counts: Counter[Outcome]) -> tuple[Cell, ...]:
    return (counts.total(), *(counts[outcome] for outcome in OUTCOMES))


def _programs(losses: Losses, began: float) -> str:
    programs = _by_first(losses)
    firsts = Counter(group.first.ending for _, group in programs)
    summary: list[tuple[Cell, ...]] = [
        (ending.outcome, ending.why, n) for ending, n in firsts.most_common()
    ]
    summary.append(("total", "", len(programs)))
    rows: list[tuple[Cell, ...]] = []
    for name, group in programs[:MAX_PROGRAMS]:
        first = group.first
        lost = group.counts.total()
        since = _since(group, began)
        rows.append((name, lost, since, first.request or "?", *first.ending))
    columns = ("program", "lost", "first", "first request", "outcome", "why")
    told = [_told(("first loss", "why", "programs"), summary), _told(columns, rows)]
    if len(programs) > MAX_PROGRAMS:
        told[-1] += f"\nand {len(programs) - MAX_PROGRAMS} later ones (--json has all)"
    return "\n\n".join(told)


def _since(group: Group, began: float) -> str:
    return f"{group.first.at - began:+z.3f} s"


def _told(columns: tuple[str, ...], rows: list[tuple[Cell, ...]]) -> str:
    return format_table(Table(columns, tuple(rows)))

"""Output of the statistics of lost requests, as text tables and as JSON."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any, Final

import msgspec

from .endings import LOST_OUTCOMES, Classification, Outcome
from .losscount import LossStats, RequestGroup
from .tables import Cell, Table, format_table

# Maximum numbers of rows in the text tables; the JSON output has all rows.
MAX_PROGRAM_ROWS: Final = 20
MAX_CUSTOMER_ROWS: Final = 20
PERCENT: Final = 100.0
OUTCOMES: Final = tuple(Outcome)
OUTCOME_COLUMNS: Final = ("requests", *(outcome.value for outcome in OUTCOMES))


def format_text(stats: LossStats) -> str:
    """Format the statistics as text tables."""
    start_s = _first_interval_start_s(stats)
    parts = [_format_summary(stats, start_s), _format_causes(stats, start_s)]
    parts.append(_format_targets(stats))
    if stats.request_count:
        parts.append(_format_intervals(stats, start_s))
        parts.append(_format_instances(stats))
    if stats.by_customer:
        parts.append(_format_customers(stats))
    if stats.by_program:
        parts.append(_format_programs(stats, start_s))
    return "\n\n".join(parts)


def encode_json(stats: LossStats) -> str:
    """Encode the statistics as a JSON object; times in seconds since the Unix epoch."""
    intervals = sorted(stats.by_interval.items())
    data = {
        "lines": {
            "read": stats.line_count,
            "requests": stats.request_count,
            "others": stats.other_line_count,
            "no_lines": dict(stats.skipped_lines),
        },
        "lost": stats.lost_count(),
        "aims": stats.target_latencies,
        "without_aim": sorted(stats.routes_without_target),
        "every_s": stats.interval_s,
        "reasons": [
            {
                **_classification_fields(classification),
                "requests": group.counts.total(),
                **_first_request_fields(group),
            }
            for classification, group in _sort_by_outcome(stats)
        ],
        "times": [
            {"at": index * stats.interval_s, **_count_fields(group)}
            for index, group in intervals
        ],
        "instances": {
            name: _count_fields(group)
            for name, group in sorted(stats.by_instance.items())
        },
        "customers": {
            name: _count_fields(group) for name, group in _sort_customers(stats)
        },
        "programs": {
            name: {
                **_classification_fields(group.first.classification),
                **_first_request_fields(group),
                **_count_fields(group),
            }
            for name, group in _sort_programs(stats)
        },
        "lost_without_program": stats.lost_without_program,
    }
    return msgspec.json.encode(data).decode()


def _classification_fields(classification: Classification) -> dict[str, Any]:
    return {"outcome": classification.outcome.value, "why": classification.cause.value}


def _first_request_fields(group: RequestGroup) -> dict[str, Any]:
    return {
        "first_at": group.first.timestamp_s,
        "first_request": group.first.request_id,
    }


def _count_fields(group: RequestGroup) -> dict[str, Any]:
    counts = {outcome.value: group.counts[outcome] for outcome in OUTCOMES}
    return {"requests": group.counts.total(), **counts}


def _first_interval_start_s(stats: LossStats) -> float:
    """Start of the first interval, in seconds since the Unix epoch."""
    return min(stats.by_interval, default=0) * stats.interval_s


def _sort_by_outcome(stats: LossStats) -> list[tuple[Classification, RequestGroup]]:
    """Sort groups by outcome, and by descending number of requests."""

    def sort_key(row: tuple[Classification, RequestGroup]) -> tuple[int, int, str]:
        classification, group = row
        return (
            OUTCOMES.index(classification.outcome),
            -group.counts.total(),
            classification.cause,
        )

    return sorted(stats.by_classification.items(), key=sort_key)


def _sort_programs(stats: LossStats) -> list[tuple[str, RequestGroup]]:
    return sorted(
        stats.by_program.items(), key=lambda row: (row[1].first.timestamp_s, row[0])
    )


def _format_summary(stats: LossStats, start_s: float) -> str:
    lost = stats.lost_count()
    output = [f"{stats.request_count} requests, {lost} of them lost"]
    if stats.request_count:
        start_time = datetime.fromtimestamp(start_s, UTC).isoformat(
            timespec="milliseconds"
        )
        output[0] += f"; times are from {start_time}"
    skipped = stats.skipped_lines.total()
    output.append(
        f"{stats.line_count} lines read: {stats.request_count} of requests, "
        f"{stats.other_line_count} others of the system, "
        f"{skipped} that are none of its lines"
    )
    output += [
        f"  {count} x {reason}" for reason, count in sorted(stats.skipped_lines.items())
    ]
    if stats.lost_without_program:
        output.append(
            f"{stats.lost_without_program} of the lost requests belong to no program"
        )
    return "\n".join(output)


def _format_causes(stats: LossStats, start_s: float) -> str:
    rows: list[tuple[Cell, ...]] = []
    for classification, group in _sort_by_outcome(stats):
        count = group.counts.total()
        percentage = f"{PERCENT * count / stats.request_count:.1f} %"
        offset = _format_offset(group, start_s)
        request = group.first.request_id or "?"
        rows.append(
            (
                classification.outcome,
                classification.cause,
                count,
                percentage,
                offset,
                request,
            )
        )
    rows.append(("total", "", stats.request_count, "", "", ""))
    columns = ("outcome", "why", "requests", "share", "first", "first request")
    return _format_rows(columns, rows)


def _format_targets(stats: LossStats) -> str:
    output: list[str] = []
    for route, target_latency_s in stats.target_latencies.items():
        unused_suffix = (
            "" if route in stats.routes_with_target else "; no answer had this route"
        )
        output.append(f"aim of {route}: {target_latency_s} s{unused_suffix}")
    if stats.routes_without_target:
        names = ", ".join(sorted(stats.routes_without_target))
        output.append(f"no aim, so whatever was answered counts as answered: {names}")
    return "\n".join(output) or "no aims, and no answers that would need one"


def _format_intervals(stats: LossStats, start_s: float) -> str:
    intervals = sorted(stats.by_interval.items())
    named_groups = (
        (f"{index * stats.interval_s - start_s:+z.3f} s", group)
        for index, group in intervals
    )
    return _format_outcomes("end of request", named_groups)


def _format_instances(stats: LossStats) -> str:
    return _format_outcomes("instance", sorted(stats.by_instance.items()))


def _sort_customers(stats: LossStats) -> list[tuple[str, RequestGroup]]:
    """Sort customers by the fraction of their requests that was lost, highest first."""

    def sort_key(row: tuple[str, RequestGroup]) -> tuple[float, str]:
        name, group = row
        lost = sum(group.counts[outcome] for outcome in LOST_OUTCOMES)
        return -lost / group.counts.total(), name

    return sorted(stats.by_customer.items(), key=sort_key)


def _format_customers(stats: LossStats) -> str:
    customers = _sort_customers(stats)
    output = _format_outcomes("customer", customers[:MAX_CUSTOMER_ROWS])
    if len(customers) > MAX_CUSTOMER_ROWS:
        omitted = len(customers) - MAX_CUSTOMER_ROWS
        output += f"\nand {omitted} that lost a smaller share (--json has all)"
    return output


def _format_outcomes(
    title: str, named_groups: Iterable[tuple[str, RequestGroup]]
) -> str:
    rows: list[tuple[Cell, ...]] = []
    total: Counter[Outcome] = Counter()
    for name, group in named_groups:
        rows.append((name, *_count_cells(group.counts)))
        total += group.counts
    rows.append(("total", *_count_cells(total)))
    return _format_rows((title, *OUTCOME_COLUMNS), rows)


def _count_cells(counts: Counter[Outcome]) -> tuple[Cell, ...]:
    return (counts.total(), *(counts[outcome] for outcome in OUTCOMES))


def _format_programs(stats: LossStats, start_s: float) -> str:
    programs = _sort_programs(stats)
    first_losses = Counter(group.first.classification for _, group in programs)
    summary: list[tuple[Cell, ...]] = [
        (classification.outcome, classification.cause, count)
        for classification, count in first_losses.most_common()
    ]
    summary.append(("total", "", len(programs)))
    rows: list[tuple[Cell, ...]] = []
    for name, group in programs[:MAX_PROGRAM_ROWS]:
        first = group.first
        lost = group.counts.total()
        offset = _format_offset(group, start_s)
        rows.append(
            (name, lost, offset, first.request_id or "?", *first.classification)
        )
    columns = ("program", "lost", "first", "first request", "outcome", "why")
    output = [
        _format_rows(("first loss", "why", "programs"), summary),
        _format_rows(columns, rows),
    ]
    if len(programs) > MAX_PROGRAM_ROWS:
        output[-1] += (
            f"\nand {len(programs) - MAX_PROGRAM_ROWS} later ones (--json has all)"
        )
    return "\n\n".join(output)


def _format_offset(group: RequestGroup, start_s: float) -> str:
    return f"{group.first.timestamp_s - start_s:+z.3f} s"


def _format_rows(columns: tuple[str, ...], rows: list[tuple[Cell, ...]]) -> str:
    return format_table(Table(columns, tuple(rows)))

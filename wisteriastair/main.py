"""The command line: one executable with a subcommand per task.

Every flag has an environment variable (``--platform-url`` and
``WISTERIASTAIR_PLATFORM_URL``); the flag takes precedence.
"""

from __future__ import annotations

import inspect
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any, Final

import anyio
import defopt

from .allocator import return_large_blocks
from .daemons.entry import EntryShell
from .daemons.side import SideShell
from .logs import set_up_logs
from .nodes import EXIT_BAD_SETTING, keeper, relay
from .operators.ctl import run_command
from .operators.losses import run_losses
from .operators.trace import run_trace
from .options import (
    DEFAULT_MEMORY_MB,
    ENV_PREFIX,
    BadSetting,
    CommonOptions,
    EntryOptions,
    SideOptions,
    check_entry,
    check_side,
)
from .standins.demo import demo
from .standins.faults import faults
from .standins.load import load
from .standins.main import standin_engine, standin_platform, standin_service
from .standins.measure import measure


def entry(
    *,
    listen: str,
    http: str,
    domain: str,
    platform_url: str,
    caller_tokens: list[str],
    operator_tokens: list[str],
    deployment: str = "default",
    slots: int = 64,
    segments: int = 4,
    patience_s: float = 20.0,
    max_body: int = 2_000_000,
    tls_cert: str = "",
    tls_key: str = "",
    log_level: str = "info",
    trace_file: str = "",
    memory_mb: int = DEFAULT_MEMORY_MB,
) -> int:
    """Run an entry, which serves callers and operators over HTTP.

    Parameters
    ----------
    listen : str
        IP:PORT for the other processes of the system.
    http : str
        IP:PORT for callers and operators.
    domain : str
        Failure domain of this instance.
    platform_url : str
        Base URL of the platform.
    caller_tokens : list[str]
        CUSTOMER=TOKEN, one for each customer.
    operator_tokens : list[str]
        OPERATOR=TOKEN, one for each operator.
    deployment : str
        Name of the deployment; the same in every process.
    slots : int
        Number of slots; the same in every process.
    segments : int
        Number of keys that store the slot table; the same in every process.
    patience_s : float
        Seconds without a message from the primary after which a request times out.
    max_body : int
        Maximum size of a request body in bytes.
    tls_cert : str
        Certificate file for TLS.
    tls_key : str
        Key file for TLS.
    log_level : str
        debug, info, warning or error.
    trace_file : str
        File for spans.
    memory_mb : int
        Memory in MB that the process may use.
    """
    common = CommonOptions(
        listen,
        http,
        domain,
        platform_url,
        deployment,
        slots,
        segments,
        log_level,
        trace_file,
        memory_mb,
    )
    cfg = EntryOptions(
        common,
        tuple(caller_tokens),
        tuple(operator_tokens),
        patience_s,
        max_body,
        tls_cert,
        tls_key,
    )
    bad_setting = check_entry(cfg)
    if bad_setting is not None:
        return _report_bad_setting(bad_setting)
    set_up_logs(log_level)
    return_large_blocks()
    anyio.run(_run_entry, cfg)
    return 0


async def _run_entry(cfg: EntryOptions) -> None:
    await EntryShell(cfg).run()


def side(
    *,
    listen: str,
    http: str,
    domain: str,
    platform_url: str,
    models: list[str] = [],  # noqa: B006
    plain: list[str] = [],  # noqa: B006
    deployment: str = "default",
    slots: int = 64,
    segments: int = 4,
    router: str = "cost",
    order: str = "program",
    running: int = 8,
    queued: int = 64,
    kv_tokens: int = 200_000,
    max_active: int = 256,
    max_wait_s: float = 4.0,
    stop_s: float = 0.0,
    prefill_tokens_s: float = 8_000.0,
    log_level: str = "info",
    trace_file: str = "",
    memory_mb: int = DEFAULT_MEMORY_MB,
) -> int:
    """Run a side process: gate of backend servers, primary and standby of slots.

    Parameters
    ----------
    listen : str
        IP:PORT for the other processes of the system.
    http : str
        IP:PORT for metrics and health.
    domain : str
        Failure domain of this instance.
    platform_url : str
        Base URL of the platform.
    models : list[str]
        NAME=URL of each model engine behind this gate.
    plain : list[str]
        NAME=URL of each plain service behind this gate.
    deployment : str
        Name of the deployment; the same in every process.
    slots : int
        Number of slots; the same in every process.
    segments : int
        Number of keys that store the slot table; the same in every process.
    router : str
        cost, round-robin, least-load or affinity.
    order : str
        program or fifo.
    running : int
        Maximum number of concurrent calls of a backend server.
    queued : int
        Maximum number of calls that wait at a gate.
    kv_tokens : int
        Maximum number of tokens of concurrent calls of a model engine.
    max_active : int
        Maximum number of running programs on this process.
    max_wait_s : float
        Predicted wait above which a new program is rejected; 0 for none.
    stop_s : float
        Seconds after which a planned stop exits in any case; 0 for no limit.
    prefill_tokens_s : float
        Prompt tokens per second that one engine computes.
    log_level : str
        debug, info, warning or error.
    trace_file : str
        File for spans.
    memory_mb : int
        Memory in MB that the process may use.
    """
    common = CommonOptions(
        listen,
        http,
        domain,
        platform_url,
        deployment,
        slots,
        segments,
        log_level,
        trace_file,
        memory_mb,
    )
    cfg = SideOptions(
        common,
        tuple(models),
        tuple(plain),
        router,
        order,
        running,
        queued,
        kv_tokens,
        max_active,
        max_wait_s,
        stop_s,
        prefill_tokens_s,
    )
    bad_setting = check_side(cfg)
    if bad_setting is not None:
        return _report_bad_setting(bad_setting)
    set_up_logs(log_level)
    return_large_blocks()
    anyio.run(_run_side, cfg)
    return 0


async def _run_side(cfg: SideOptions) -> None:
    await SideShell(cfg).run()


def ctl(
    *words: str,
    url: str,
    token: str,
    json: bool = False,
    change: str = "",
    ca_file: str = "",
) -> int:
    """Send one command of the operators' language to an entry.

    Parameters
    ----------
    words : str
        The command, such as: show programs where state = running
    url : str
        Base URL of any entry.
    token : str
        The operator's bearer token.
    json : bool
        Print JSON instead of a table.
    change : str
        Id of the change, to repeat a command whose response was lost.
    ca_file : str
        Certificate of the CA that signed the certificate of the entry.
    """
    return run_command(
        " ".join(words),
        url=url,
        token=token,
        json_output=json,
        change_id=change,
        ca_file=ca_file,
    )


def trace(wanted: str, *files: str) -> int:
    """Reconstruct the route of a request or a program from log lines.

    Parameters
    ----------
    wanted : str
        Id of the request or the program.
    files : str
        Log files of as many processes as possible; standard input if none is given.
    """
    return run_trace(wanted, files)


def losses(
    *files: str,
    aim: str = "",
    every: float = 2.0,
    json: bool = False,
) -> int:
    """Report from log lines which requests count as lost, when and why.

    Parameters
    ----------
    files : str
        Log files of as many relays as possible; standard input if none is given.
    aim : str
        ROUTE=SECONDS within which an answer must be complete; may be repeated.
    every : float
        Seconds per row of the table by time.
    json : bool
        Print JSON instead of tables.
    """
    return run_losses(files, aim, every, json)


COMMANDS: Final[dict[str, Callable[..., int]]] = {
    "entry": entry,
    "side": side,
    "relay": relay,
    "keeper": keeper,
    "ctl": ctl,
    "trace": trace,
    "losses": losses,
    "demo": demo,
    "faults": faults,
    "load": load,
    "measure": measure,
    "standin-platform": standin_platform,
    "standin-engine": standin_engine,
    "standin-service": standin_service,
}


def _report_bad_setting(bad_setting: BadSetting) -> int:
    print(f"wisteriastair: {bad_setting}", file=sys.stderr)
    return EXIT_BAD_SETTING


def with_environment(argv: Sequence[str], environ: dict[str, str]) -> list[str]:
    """Add a flag for each setting that is given only in the environment."""
    if not argv or argv[0] not in COMMANDS:
        return list(argv)
    given_flags = {arg.split("=", 1)[0] for arg in argv if arg.startswith("--")}
    added: list[str] = []
    for name, parameter in inspect.signature(COMMANDS[argv[0]]).parameters.items():
        flag = "--" + name.replace("_", "-")
        value = environ.get(ENV_PREFIX + name.upper())
        if (
            value is None
            or flag in given_flags
            or parameter.kind.name != "KEYWORD_ONLY"
        ):
            continue
        added += _make_flag_args(flag, value, parameter.annotation)
    return [argv[0], *added, *argv[1:]]


def _make_flag_args(flag: str, value: str, annotation: Any) -> list[str]:
    if annotation in (bool, "bool"):
        return [flag] if value.lower() in ("1", "true", "yes") else []
    if "list" in str(annotation):
        return [flag, *value.split(",")]
    return [flag, value]


def with_joined_aims(argv: Sequence[str]) -> list[str]:
    """Join the aims of `losses` with commas: the parser uses only the last of them."""
    if not argv or argv[0] != "losses":
        return list(argv)
    aims: list[str] = []
    rest: list[str] = []
    remaining = iter(argv)
    for arg in remaining:
        flag, separator, value = arg.partition("=")
        if flag != "--aim":
            rest.append(arg)
            continue
        aim = value if separator else next(remaining, None)
        if aim is None:
            # The parser reports the missing value.
            return list(argv)
        aims.append(aim)
    return [rest[0], "--aim=" + ",".join(aims), *rest[1:]] if aims else rest


def main() -> int:
    """Run the command line."""
    argv = with_joined_aims(with_environment(sys.argv[1:], dict(os.environ)))
    status = defopt.run(COMMANDS, argv=argv, no_negated_flags=True)
    return int(status)

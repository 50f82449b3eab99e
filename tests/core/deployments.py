"""Virtual deployments for the failure tests."""

from __future__ import annotations

from wisteriastair.core.config import PutServer, PutService, Server, Service, Tool
from wisteriastair.core.entry import Done, OutputText, RequestSpec
from wisteriastair.core.replica import SlotRow
from wisteriastair.core.side import SideCore
from wisteriastair.standins.script import final_answer
from wisteriastair.standins.virtual import VirtualDeployment
from wisteriastair.standins.virtual_parts import VirtualOptions, VirtualServer

MODEL = "jigsaw-7b@3"
SERVICE = Service(
    "appraisal",
    budget=40_000,
    models=(MODEL,),
    tools=(Tool("find", "listings", True), Tool("reserve", "swaps", False)),
)
SERVERS = (
    VirtualServer("m1", "model", (MODEL,), "chingeltei"),
    VirtualServer("m2", "model", (MODEL,), "bayanzurkh"),
    VirtualServer("m3", "model", (MODEL,), "khan-uul"),
    VirtualServer("p1", "plain", ("listings", "swaps"), "chingeltei"),
    VirtualServer("p2", "plain", ("listings", "swaps"), "bayanzurkh"),
)
PROMPT = (
    "shared: You appraise.\nIs it complete?\n"
    "plan: tool find c | spawn Check the list. words=8 | tool reserve box\nwords=30"
)
ANSWER = final_answer(PROMPT)


def office(cfg: VirtualOptions | None = None) -> VirtualDeployment:
    """Start a deployment with its slots placed and its service configured."""
    deployment = VirtualDeployment(cfg or VirtualOptions(SERVERS))
    for number, server in enumerate(deployment.cfg.servers):
        declared = Server(server.name, server.kind, server.serves)
        deployment.change(PutServer(f"declare-{number}", declared))
    deployment.change(PutService("create", True, SERVICE))
    placed = deployment.run_until(lambda: all_paired(deployment), 30.0)
    assert placed, "the slots are placed"
    # Wait until the slots no longer move.
    deployment.run(30.0)
    return deployment


def rows_of(deployment: VirtualDeployment) -> dict[int, SlotRow]:
    """Return the slot table of the first entry."""
    return deployment.entry().placement.rows


def all_paired(deployment: VirtualDeployment) -> bool:
    """Whether every slot has a live primary and a live standby."""
    rows = rows_of(deployment)
    live = {n.member for n in deployment.nodes.values() if n.alive and not n.drained}
    paired = [r for r in rows.values() if r.primary in live and r.standby in live]
    return len(paired) == deployment.cfg.slots


def start(key: str, *, prompt: str = PROMPT, stream: bool = True) -> RequestSpec:
    """Build the request for an appraisal."""
    return RequestSpec(
        "start", "citizens", key=key, service="appraisal", prompt=prompt, stream=stream
    )


def primary_of(deployment: VirtualDeployment, program: str) -> str:
    """Return the name of the process that is the primary of a program."""
    for name, node in deployment.nodes.items():
        core = node.core
        if name.startswith("side") and node.alive and not node.drained:
            assert isinstance(core, SideCore)
            if program in core.programs.by_name and core.slots.is_open(
                core.programs.by_name[program].slot
            ):
                return name
    return ""


def answers(deployment: VirtualDeployment, requests: list[str]) -> list[str]:
    """Return the answer of each request, or its error code."""
    found = []
    for request in requests:
        last = deployment.final_event(request)
        if isinstance(last, Done):
            outcome = last.outcome
            found.append(outcome.answer if outcome.status == "done" else outcome.status)
        else:
            found.append(repr(last))
    return found


def all_ended(deployment: VirtualDeployment, requests: list[str]) -> bool:
    """Whether every request has its final event."""
    return all(deployment.final_event(request) is not None for request in requests)


def streamed(deployment: VirtualDeployment, request: str) -> dict[int, str]:
    """Return the text that a caller received, by model call; check it for gaps."""
    texts: dict[int, str] = {}
    for event in deployment.events[request]:
        if isinstance(event, OutputText):
            received = texts.get(event.number, "")
            assert event.offset == len(received), "no gap and nothing twice"
            texts[event.number] = received + event.text
    return texts

"""One program: the fold of its records, and its next step.

A program is a chain of calls.  A model call ends with an answer, or with actions:
tool calls, which run one after another in the order given, and sub-agents, which run
concurrently.  When all actions of a turn have their results, the next model call
follows.  `Program.next_step` derives the next step from the committed records alone,
so a new primary that rebuilds the program from its log continues exactly where the
log ends.
"""

from __future__ import annotations

from typing import Final, NamedTuple

import msgspec

from ..errors import Code
from .records import (
    Action,
    CallEnded,
    CallIntended,
    ChildEnded,
    ChildStarted,
    ProgramEnded,
    ProgramStarted,
    Record,
    TextAppended,
)

SPAWN: Final = "spawn"
MAX_ATTEMPTS: Final = 6
# Servers that may run one call without answering it. A call that crashes each server
# must not reach more; further attempts go to the same ones.
MAX_EXPOSED_SERVERS: Final = 3
# A tool step fails after this many times its time limit without a result.
MAX_TOOL_TIMEOUTS: Final = 2
# A chat template adds a few tokens around each message.
MESSAGE_OVERHEAD_TOKENS: Final = 8


class ChatMessage(NamedTuple):
    """One message of the history, as sent to the engine."""

    role: str
    content: str


class ActionState(NamedTuple):
    """One action of the current turn with its sub-agent and its result."""

    action: Action
    child: str
    result: str | None


class Wait(NamedTuple):
    """Wait until a call or a sub-agent ends."""


class ModelStep(NamedTuple):
    """Make a model call."""

    number: int
    attempt: int
    prompt_token_bound: int
    max_tokens: int
    prefix: str


class ToolStep(NamedTuple):
    """Make a tool call."""

    number: int
    attempt: int
    action: Action


class ChildStep(NamedTuple):
    """Start a sub-agent."""

    position: int
    child: str
    prompt: str
    budget: int


class EndStep(NamedTuple):
    """End the program."""

    status: str
    answer: str
    detail: str


Step = Wait | ModelStep | ToolStep | ChildStep | EndStep


class Program:
    """State of one program."""

    def __init__(self, started: ProgramStarted) -> None:
        self.start = started
        self.history: list[ChatMessage] = [ChatMessage("user", started.prompt)]
        self.outputs: dict[int, str] = {}
        self.call: CallIntended | None = None
        self.ended: ProgramEnded | None = None
        self.spent = 0
        self.turns = 0
        self.servers: set[str] = set()
        self.last_server = ""
        self.context_tokens = 0
        self.call_text_offset = 0
        self._partial_text = ""
        self._actions: list[ActionState] = []
        self._answer: str | None = None
        self._step_started_at = 0.0
        self._number = 1
        self._attempt = 1
        # Servers that may have run the call of this step and did not answer it.
        self._exposed: set[str] = set()
        self._failure: EndStep | None = None
        self._child_budgets: dict[str, int] = {}
        if started.plain is not None:
            self._actions = [ActionState(started.plain, "", None)]
        self._unsent_bytes = len(started.prompt.encode()) + MESSAGE_OVERHEAD_TOKENS

    @property
    def reserved(self) -> int:
        """Tokens reserved for the open call and for active sub-agents."""
        open_call = self.call.reserved if self.call is not None else 0
        return open_call + sum(self._child_budgets.values())

    @property
    def partial_text(self) -> str:
        """Committed output of the open or interrupted model call."""
        return self._partial_text

    def allowed_servers(self) -> frozenset[str] | None:
        """Return the only servers that may get the next attempt; None for all."""
        if len(self._exposed) < MAX_EXPOSED_SERVERS:
            return None
        return frozenset(self._exposed)

    def remaining_tokens(self) -> int:
        """Tokens of the budget that are neither spent nor reserved."""
        return self.start.limits.budget - self.spent - self.reserved

    def active_children(self) -> list[str]:
        """Sub-agents that have not ended."""
        return list(self._child_budgets)

    def child_start_step(self, child: str) -> ChildStep | None:
        """Return the step that started a sub-agent, to repeat it after a takeover."""
        for index, state in enumerate(self._actions):
            if state.child == child:
                prompt = state.action.argument
                return ChildStep(
                    index, child, prompt, self._child_budgets.get(child, 0)
                )
        return None

    # Records

    def apply(self, record: Record) -> None:
        """Fold one committed record into the state."""
        match record:
            case CallIntended():
                self.call = record
                self.call_text_offset = len(self._partial_text)
                if record.attempt == 1:
                    self._step_started_at = record.intended_at
                if record.kind == "model":
                    self.servers.add(record.server)
            case TextAppended():
                self._partial_text += record.text
            case CallEnded():
                self._end_call(record)
            case ChildStarted():
                self._child_budgets[record.child] = record.budget
                state = self._actions[record.position]
                self._actions[record.position] = state._replace(child=record.child)
            case ChildEnded():
                self._end_child(record)
            case ProgramEnded():
                self.ended = record
                self.call = None
                self._child_budgets.clear()
            case ProgramStarted():
                pass

    def _end_call(self, record: CallEnded) -> None:
        call = self.call
        assert call is not None, "a call ends once, after its intent"
        self.call = None
        if record.status == "ok":
            self.spent += record.prompt_tokens + record.completion_tokens
            self._attempt = 1
            self._exposed.clear()
            self._number += 1
            if call.kind == "model":
                self._finish_turn(call, record)
            else:
                self._set_result(self._next_tool_index(), record.text)
            return
        if record.ran != "no" and call.kind == "model":
            # The tokens used by the lost attempt are unknown, so its whole
            # reservation counts as spent.
            self.spent += call.reserved
        if record.ran != "no" and call.server:
            self._exposed.add(call.server)
        self._attempt += 1
        self._failure = self._fatal_failure(call, record)

    def _fatal_failure(self, call: CallIntended, record: CallEnded) -> EndStep | None:
        if record.ran == "no":
            return None
        if not call.repeatable:
            detail = f"{call.name} (call {call.number}) may have run; not repeated"
            return EndStep(Code.OUTCOME_UNKNOWN, "", detail)
        code = Code.MODEL_FAILED if call.kind == "model" else Code.TOOL_FAILED
        if self._attempt > MAX_ATTEMPTS:
            return EndStep(code, "", f"{call.name} failed {MAX_ATTEMPTS} times")
        elapsed_s = record.ended_at - self._step_started_at
        if (
            call.kind == "tool"
            and elapsed_s > MAX_TOOL_TIMEOUTS * self.start.limits.tool_s
        ):
            return EndStep(code, "", f"{call.name} gave no answer in {elapsed_s:.0f} s")
        return None

    def _finish_turn(self, call: CallIntended, record: CallEnded) -> None:
        text = self._partial_text + record.text
        self._partial_text = ""
        self.turns += 1
        self.outputs[call.number] = text
        self.last_server = call.server
        self.context_tokens = record.prompt_tokens + record.completion_tokens
        self._unsent_bytes = MESSAGE_OVERHEAD_TOKENS
        self.history.append(ChatMessage("assistant", text))
        if record.actions:
            self._actions = [ActionState(action, "", None) for action in record.actions]
        else:
            self._answer = text

    def _end_child(self, record: ChildEnded) -> None:
        self._child_budgets.pop(record.child, None)
        self.spent += record.spent
        for index, state in enumerate(self._actions):
            if state.child == record.child:
                self._set_result(index, record.answer)
                return

    def _set_result(self, index: int, result: str) -> None:
        self._actions[index] = self._actions[index]._replace(result=result)
        if any(state.result is None for state in self._actions):
            return
        if self.start.plain is not None:
            self._answer = result
            self._actions = []
            return
        for state in self._actions:
            text = f"{state.action.name}: {state.result}"
            self.history.append(ChatMessage("tool", text))
            self._unsent_bytes += len(text.encode()) + MESSAGE_OVERHEAD_TOKENS
        self._actions = []

    def _next_tool_index(self) -> int:
        for index, state in enumerate(self._actions):
            if state.result is None and state.action.name != SPAWN:
                return index
        return -1

    # Decisions

    def next_step(self, now: float) -> Step:
        """Decide the next step of the program."""
        if self.ended is not None:
            return Wait()
        if now - self.start.started_at >= self.start.limits.wall_s:
            detail = f"not finished within {self.start.limits.wall_s:g} s"
            return EndStep(Code.TIME_LIMIT, "", detail)
        if self._failure is not None:
            return self._failure
        if self.call is not None:
            return Wait()
        if self._actions:
            return self._next_action()
        if self._answer is not None:
            return EndStep("done", self._answer, "")
        return self._next_model_call()

    def _next_action(self) -> Step:
        for index, state in enumerate(self._actions):
            if state.action.name == SPAWN and not state.child:
                return self._child_step(index, state.action)
        index = self._next_tool_index()
        if index < 0:
            return Wait()
        return ToolStep(self._number, self._attempt, self._actions[index].action)

    def _child_step(self, index: int, action: Action) -> Step:
        spawns = [t for t in self._actions if t.action.name == SPAWN and not t.child]
        # Equal fractions for the sub-agents of this turn and the program itself.
        budget = self.remaining_tokens() // (len(spawns) + 1)
        if budget < 1:
            return EndStep(Code.BUDGET_EXHAUSTED, "", "no budget left for a sub-agent")
        child = f"{self.start.program}.{self._number}-{index}"
        return ChildStep(index, child, action.argument, budget)

    def _next_model_call(self) -> Step:
        limits = self.start.limits
        if self.turns >= limits.max_turns:
            return EndStep(
                Code.TURN_LIMIT, "", f"used all {limits.max_turns} model calls"
            )
        bound = self.prompt_token_bound()
        available = self.remaining_tokens() - bound
        if available < 1:
            detail = (
                f"{self.spent} of {limits.budget} tokens used; next call needs more"
            )
            return EndStep(Code.BUDGET_EXHAUSTED, "", detail)
        max_tokens = min(limits.max_tokens, available)
        return ModelStep(
            self._number, self._attempt, bound, max_tokens, self._partial_text
        )

    def prompt_token_bound(self) -> int:
        """Upper bound of the next prompt in tokens.

        The sum of the tokens that the engine counted for the last call and one token
        for each byte added since, which no tokenizer exceeds.
        """
        return (
            self.context_tokens + self._unsent_bytes + len(self._partial_text.encode())
        )

    def model_body(self, step_prefix: str) -> str:
        """Messages of a model call, as JSON."""
        messages = [{"role": m.role, "content": m.content} for m in self.history]
        body = {"messages": messages, "prefix": step_prefix}
        return msgspec.json.encode(body).decode()

"""The effects of one step, collected from all components of the core."""

from __future__ import annotations

from .events import Effect, LogMessage, Send
from .wire import Message


class Outbox:
    """Collects effects in the order in which they are added."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Add one effect."""
        self._effects.append(effect)

    def extend(self, effects: list[Effect]) -> None:
        """Add several effects."""
        self._effects.extend(effects)

    def send(self, to: str, message: Message) -> None:
        """Add a message to another process."""
        self._effects.append(Send(to, message))

    def log(self, text: str, *, level: str = "info", program: str = "") -> None:
        """Add a line for the log."""
        self._effects.append(LogMessage(level, text, program))

    def drain(self) -> list[Effect]:
        """Return all collected effects and clear the outbox."""
        effects = self._effects
        self._effects = []
        return effects

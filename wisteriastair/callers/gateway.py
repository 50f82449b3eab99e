"""The interface of an entry for the HTTP APIs of callers and operators."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

from ..core.config import Change, Config
from ..core.entry import CallerEvent, ProgramRows, RequestSpec
from ..core.events import Instance
from ..core.replica import SlotRow
from ..errors import Failure


class Gateway(ABC):
    """Operations of an entry that its HTTP APIs use."""

    @abstractmethod
    def open_request(
        self, spec: RequestSpec
    ) -> AbstractAsyncContextManager[AsyncIterator[CallerEvent]]:
        """Submit a request; its events end with `Done` or `Refused`."""

    @abstractmethod
    async def list_programs(self, customer: str, limit: int) -> ProgramRows:
        """List the programs of all primaries."""

    @abstractmethod
    async def change(
        self, change_id: str, build_change: Callable[[Config], Change], expected: int
    ) -> int | Failure:
        """Apply a change of the configuration and return its confirmed revision.

        ``build_change`` builds the change for the configuration to which it is applied;
        ``expected`` is the revision that the operator has seen, or 0 for any.
        """

    @abstractmethod
    def config(self) -> tuple[int, Config]:
        """Return the configuration in force in this process, with its revision."""

    @abstractmethod
    def instances(self) -> tuple[Instance, ...]:
        """Return the instance list as last read."""

    @abstractmethod
    def slot_rows(self) -> list[SlotRow]:
        """Return the slot table that this process has."""

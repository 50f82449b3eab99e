"""What the HTTP interfaces need of the entry behind them."""

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
    """The entry, as its HTTP interfaces see it."""

    @abstractmethod
    def open(
        self, spec: RequestSpec
    ) -> AbstractAsyncContextManager[AsyncIterator[CallerEvent]]:
        """Take a request; its events end with `Done` or `Refused`."""

    @abstractmethod
    async def list_programs(self, customer: str, limit: int) -> ProgramRows:
        """List programs of all carriers."""

    @abstractmethod
    async def change(
        self, change_id: str, make: Callable[[Config], Change], expected: int
    ) -> int | Failure:
        """Make a change of configuration; return its confirmed revision.

        ``make`` builds the change for the configuration it is applied to;
        ``expected`` is the revision the operator has seen, or 0 for any.
        """

    @abstractmethod
    def config(self) -> tuple[int, Config]:
        """Return the configuration in force here, with its revision."""

    @abstractmethod
    def instances(self) -> tuple[Instance, ...]:
        """Return the instance list as last read."""

    @abstractmethod
    def rows(self) -> list[SlotRow]:
        """Return the slot table as known here."""

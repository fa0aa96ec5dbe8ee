"""End an attempt at a primary once the news of another primary is in.

A home that was cut off gives no answer, and a connection to it breaks late.
News of the next primary reach this host from other homes long before. They
are asked for once an attempt takes longer than is usual.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from ..version.catalog import Group
from .group_view_cache import GroupViewCache
from .refusal import RefusalError, RefusalReason, may_have_run, not_run
from .statement import StatementKind
from .statement_executor import HomeResponse

POLL_DELAY_SECONDS: Final = 0.1
RETRY_AFTER_MS: Final = 20


class PrimaryAttempt:
    """Run one attempt at `primary` for as long as nobody else is known to lead.

    :param term: the term that the primary leads by what is known here.
    """

    __slots__ = ("views", "group", "primary", "term", "owner", "superseded", "polling")

    def __init__(
        self, views: GroupViewCache, group: Group, primary: str, term: int
    ) -> None:
        self.views = views
        self.group = group
        self.primary = primary
        self.term = term
        self.owner: asyncio.Task[Any] | None = None
        self.superseded = False
        self.polling = False

    async def run(
        self, attempt: Coroutine[Any, Any, HomeResponse], kind: StatementKind
    ) -> HomeResponse:
        """Return what `attempt` brings; it runs in the task of its caller.

        :raises Refusal: that of the attempt, or ``superseded``.
        """
        self.owner = asyncio.current_task()
        timer = asyncio.get_running_loop().call_later(
            POLL_DELAY_SECONDS, self.start_polling
        )
        self.views.add_listener(self.group, self.cancel_if_superseded)
        try:
            return await attempt
        except asyncio.CancelledError:
            if not self.superseded or not self.clear_interruption():
                raise
            raise superseded_refusal(self.primary, kind) from None
        finally:
            timer.cancel()
            self.owner = None
            self.views.remove_listener(self.group, self.cancel_if_superseded)
            if self.polling:
                self.views.stop_polling(self.group)

    def start_polling(self) -> None:
        """Have the homes asked for news; called by the timer."""
        self.polling = True
        self.views.start_polling(self.group)

    def cancel_if_superseded(self) -> None:
        """Interrupt the attempt if another member leads a later term.

        News that the attempt itself brings come with its answer.
        """
        view = self.views.group(self.group.name).view
        if view.term <= self.term or view.primary in (None, self.primary):
            return
        if self.owner in (None, asyncio.current_task()) or self.superseded:
            return
        assert self.owner is not None
        self.superseded = True
        self.owner.cancel()

    def clear_interruption(self) -> bool:
        """Take back the interruption; return whether nobody else cancelled."""
        return self.owner is not None and self.owner.uncancel() == 0


def superseded_refusal(primary: str, kind: StatementKind) -> RefusalError:
    """Return the refusal of an attempt that was ended; a read has no effect."""
    text = f"{primary} was superseded before it answered"
    if kind is StatementKind.READ:
        return not_run(RefusalReason.SUPERSEDED, text, RETRY_AFTER_MS)
    return may_have_run(RefusalReason.SUPERSEDED, text, RETRY_AFTER_MS)

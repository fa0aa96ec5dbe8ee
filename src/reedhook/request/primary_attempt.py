"""Cancels an attempt at a primary once a newer primary is known.

A home behind a network partition does not answer, and its connections time out
late. Other homes report the next primary much earlier, so they are polled when an
attempt is slow.
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
    """Run one attempt at `primary` until another primary of a later term is known.

    :param term: the term of `primary`.
    :ivar owner: the task that runs the attempt; None when it is not running.
    :ivar superseded: whether the attempt was cancelled for a newer primary.
    :ivar polling: whether this attempt has started polling of the homes.
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
        """Return the response of `attempt`, run in the caller's task.

        :raises RefusalError: the refusal of the attempt, or ``superseded``.
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
        """Start polling the homes for a new primary; called by the timer."""
        self.polling = True
        self.views.start_polling(self.group)

    def cancel_if_superseded(self) -> None:
        """Cancel the attempt if another member is the primary of a later term.

        A change found in the attempt's own response does not cancel it.
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
        """Undo the cancellation; return whether no other one is pending."""
        return self.owner is not None and self.owner.uncancel() == 0


def superseded_refusal(primary: str, kind: StatementKind) -> RefusalError:
    """Return the refusal of a cancelled attempt; a read counts as not run."""
    text = f"{primary} was superseded before it answered"
    if kind is StatementKind.READ:
        return not_run(RefusalReason.SUPERSEDED, text, RETRY_AFTER_MS)
    return may_have_run(RefusalReason.SUPERSEDED, text, RETRY_AFTER_MS)

"""Waits that allow for an event loop that is stalled because its host is overloaded.

A stalled loop runs timers that are due before the tasks whose data has arrived. A
plain timeout then ends a wait although the answer is already here.
"""

import asyncio
from typing import Final, TypeVar

T = TypeVar("T")

STEP_SECONDS: Final = 0.01
"""Length of the parts into which a wait is divided."""


async def wait_for_first(
    tasks: set[asyncio.Task[T]], seconds: float
) -> tuple[set[asyncio.Task[T]], set[asyncio.Task[T]]]:
    """Wait until a task is done, at most `seconds` of a loop that is not stalled.

    Each part of the wait lets the loop run, and a stall counts as one part only, so
    the tasks get enough turns to read an answer.

    :return: the tasks that are done, and the others.
    """
    done, pending = set[asyncio.Task[T]](), tasks
    for _ in range(round(seconds / STEP_SECONDS)):
        done, pending = await asyncio.wait(
            tasks, timeout=STEP_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        if done:
            break
    return done, pending

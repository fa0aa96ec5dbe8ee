"""Helpers that several tests share."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run `main` on a new event loop."""
    return asyncio.run(main)

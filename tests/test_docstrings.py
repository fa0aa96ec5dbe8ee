"""Every module and public item has a doc comment."""

import importlib
import inspect
import pkgutil
from collections.abc import Iterator
from types import ModuleType

import pytest

import reedhook
import reedhook_standins


def modules() -> Iterator[ModuleType]:
    """Import every module of the program and of its stand-ins."""
    for package in (reedhook, reedhook_standins):
        yield package
        for module_info in pkgutil.walk_packages(
            package.__path__, f"{package.__name__}."
        ):
            if not module_info.name.endswith("__main__"):
                yield importlib.import_module(module_info.name)


def undocumented(module: ModuleType) -> list[str]:
    """Return the public items of a module without a doc comment.

    A method inherits the doc comment of the method that it overrides.
    """
    missing = [] if module.__doc__ else [module.__name__]
    for name, item in vars(module).items():
        if name.startswith("_") or getattr(item, "__module__", "") != module.__name__:
            continue
        if inspect.isfunction(item) and not item.__doc__:
            missing.append(name)
        if inspect.isclass(item):
            missing += undocumented_in(item)
    return missing


def undocumented_in(kind: type) -> list[str]:
    """Return the class, and its public methods, without a doc comment."""
    missing = [] if kind.__doc__ else [kind.__name__]
    for name, item in vars(kind).items():
        method = (
            item.__func__ if isinstance(item, (classmethod, staticmethod)) else item
        )
        if name.startswith("_"):
            continue
        if not inspect.isfunction(method) and not isinstance(method, property):
            continue
        if not inspect.getdoc(getattr(kind, name)):
            missing.append(f"{kind.__name__}.{name}")
    return missing


@pytest.mark.parametrize("module", list(modules()), ids=lambda one: one.__name__)
def test_every_public_item_has_a_doc_comment(module: ModuleType) -> None:
    assert undocumented(module) == []

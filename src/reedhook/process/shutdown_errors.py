"""Errors of the shutdown of a host."""


class ShutdownTimeoutError(Exception):
    """Signal that work was still in progress when the shutdown timed out."""

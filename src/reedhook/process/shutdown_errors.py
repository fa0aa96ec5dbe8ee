"""The error of a shutdown that took too long."""


class ShutdownTimeoutError(Exception):
    """Say that work was still in progress when the shutdown's time ran out."""

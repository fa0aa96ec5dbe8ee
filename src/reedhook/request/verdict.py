"""Whether a request may have run."""

from enum import Enum


class Verdict(str, Enum):
    """Say what is known about the effect of a request."""

    DONE = "done"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"

"""The verdict on whether a request has run."""

from enum import Enum


class Verdict(str, Enum):
    """Enumerate what is known about the effect of a request."""

    DONE = "done"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"

"""Proof that a target is the primary, by what the targets of its service report.

For the claimer of a lease whose record may be outdated after a restore of the store:
a promotion that the record does not show may have been ordered shortly before.
"""

from typing import Final, TypeAlias

from ...connection.session_target import SessionTargetStatus
from ...version.route_table import TargetAnnouncement
from .coordinator_role import COORDINATOR_WAIT_SECONDS

LONGEST_PROMOTION_SECONDS: Final = 0.6
"""Time from an order until the target leads."""

SETTLING_MARGIN_SECONDS: Final = 0.4

SETTLING_SECONDS: Final = (
    COORDINATOR_WAIT_SECONDS + LONGEST_PROMOTION_SECONDS + SETTLING_MARGIN_SECONDS
)
"""Time after this host learned of an epoch until which a promotion that was ordered in
an earlier one may take effect. Statuses show it only afterwards."""

CLAIM_WAIT_SECONDS: Final = 12.5
"""Time after a claim from which targets that do not respond are not waited for."""

Report: TypeAlias = tuple[TargetAnnouncement, SessionTargetStatus]


def proven_primary(found: list[Report], complete: bool, waited: bool) -> Report | None:
    """Return the target that is proven to be the primary, or None.

    :param found: the targets that responded.
    :param complete: whether these are all targets of the service.
    :param waited: whether CLAIM_WAIT_SECONDS have passed since the claim.
    """
    leading = [report for report in found if report[1].is_primary]
    if not leading or not (complete or waited):
        return None
    newest = max(leading, key=lambda report: report[1].term)
    if any(status.term > newest[1].term for _, status in found):
        return None
    if complete or len(leading) == 1:
        return newest
    return None

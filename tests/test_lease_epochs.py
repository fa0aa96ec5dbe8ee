"""Primary leases and promotions over a store that is restored from an older copy."""

import asyncio

from reedhook.peer import HostRef

from .fakes_clock import run_virtual
from .restored_world import RestoredWorld

OTHER_CHANGES = 100
"""Changes of other keys that the restore loses, so that revisions go back that far."""


def test_fencing_tokens_rise_over_a_restore() -> None:
    """Guards against an order of a promotion with a lower or repeated token."""
    run_virtual(promote_before_and_after_a_restore())


async def promote_before_and_after_a_restore() -> None:
    """Replace the primary, restore a copy of before, and replace the primary again."""
    world = RestoredWorld()
    await world.start()
    world.copy("recent")
    for number in range(OTHER_CHANGES):
        world.store.write("other", b"%d" % number)
    first = world.group.primary
    first.down = True
    await asyncio.sleep(5.0)
    coordinator = world.group.promotions[-1][1]
    first.down = False
    await asyncio.sleep(2.0)
    world.restore()
    await world.kill(coordinator)
    await asyncio.sleep(20.0)
    world.group.primary.down = True
    await asyncio.sleep(25.0)
    tokens = [token for _, _, token in world.group.promotions]
    assert len(tokens) >= 2
    assert tokens == sorted(set(tokens))
    await world.end()


def test_claim_that_the_restore_has_lost_delays_a_promotion() -> None:
    """Guards against commits and reads at a superseded primary.

    The claimer uses the primary, and no record names it any more.
    """
    run_virtual(lose_a_claim())


async def lose_a_claim() -> None:
    """Cut the holder off until the restore, then the host that has claimed its lease.

    Both reach the primary throughout, and neither hears of the other one's claim.
    """
    world = RestoredWorld()
    await world.start()
    holder = world.leader().me
    world.copy("recent")
    backup = world.backup_holder().me
    isolate(world, holder)
    world.store.declining.add(backup.host)
    await asyncio.sleep(2.5)
    world.store.declining.clear()
    claimer = world.leader().me
    assert claimer not in (holder, backup)
    for ref in world.refs:
        world.write_at(ref.host)
    world.heal()
    isolate(world, claimer)
    world.restore()
    await asyncio.sleep(0.5)
    former = world.group.primary
    for ref in world.refs:
        if ref != claimer:
            world.group.cut(ref.host, former.entry.target)
    await asyncio.sleep(25.0)
    assert world.group.promotions
    assert world.group.primary is not former
    await world.end()


def isolate(world: RestoredWorld, ref: HostRef) -> None:
    """Cut a host off from the store and all other hosts, but not from the targets."""
    others = {one.host for one in world.refs} - {ref.host}
    world.network.isolate({ref.host}, others)
    world.store.silent.add(ref.host)

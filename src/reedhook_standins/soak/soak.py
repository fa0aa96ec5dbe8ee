"""Run seeds of the soak test.

Usage:
  soak [--seeds N] [--first SEED] [--hosts N] [--seconds S] [--folder DIR]
       [--no-restores]
  soak --help

Options:
  --seeds N      How many seeds to run, one after another [default: 50].
  --first SEED   The first seed; random if not given.
  --hosts N      Hosts in three availability zones [default: 6].
  --seconds S    Time of faults, of each seed [default: 20].
  --folder DIR   Where settings and logs are kept [default: build/soak].
  --no-restores  Draw from the faults without restores of the store, which gives
                 a seed other faults.

Exit codes: 0 if all promises were kept, 1 otherwise.
"""

import asyncio
import sys
from pathlib import Path
from random import Random
from typing import Final

from docopt import docopt

from ..promises import GuaranteeChecker
from .caller import ROUTES, SessionEnded, WireCaller
from .faults import FAULTS, WITH_LIVES, WITH_RESTORES, FaultContext, SoakFault
from .hosts import SoakHostProcess
from .surroundings import SoakEnvironment

ZONES: Final = ("z0", "z1", "z2")
SETTLE: Final = 30.0
"""Seconds in which all databases must be served, before and after the faults."""

CALLERS_A_HOST: Final = 2
MOST_AT_ONCE: Final = 3
"""Maximum of concurrent faults."""

POLL: Final = 0.1
FIRST_SEEDS: Final = 1_000_000


class Soak:
    """Run hosts under faults, and check what callers and targets saw."""

    def __init__(
        self,
        seed: int,
        hosts: int,
        seconds: float,
        folder: Path,
        faults: list[type[SoakFault]] = FAULTS,
    ) -> None:
        self.faults = faults
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.random = Random(seed)
        names = [f"h{index}" for index in range(hosts)]
        self.around = SoakEnvironment(list(ZONES), names)
        self.names = names
        self.hosts: list[SoakHostProcess] = []
        self.done = 0
        self.callers = 0
        self.calling = True
        self.struck: list[str] = []

    async def run(self) -> list[str]:
        """Run the seed; return the violated guarantees."""
        loop = asyncio.get_running_loop()
        self.promises = GuaranteeChecker(self.around.group, loop.time)
        self.promises.watch()
        self.folder.mkdir(parents=True, exist_ok=True)
        await self.around.start()
        try:
            await self.play()
        finally:
            for host in self.hosts:
                await host.kill()
                for proxy in host.proxies:
                    await proxy.stop()
            await self.around.stop()
        self.check_tokens()
        return self.promises.violations

    async def play(self) -> None:
        """Start all hosts, inject faults, and check recovery."""
        for index, name in enumerate(self.names):
            host = SoakHostProcess(
                index,
                name,
                ZONES[index % len(ZONES)],
                self.folder,
                self.around.store.address,
                self.around.promotions,
            )
            await host.prepare()
            self.hosts.append(host)
        for host in self.hosts:
            await host.start()
        await self.until_served("before any fault")
        calls = [self.call(host) for host in self.hosts for _ in range(CALLERS_A_HOST)]
        call_tasks = [asyncio.ensure_future(call) for call in calls]
        await self.disturb()
        self.heal()
        await self.until_served("after the last fault")
        self.calling = False
        await asyncio.gather(*call_tasks)

    async def disturb(self) -> None:
        """Inject faults for a while, sequentially and overlapping."""
        field = FaultContext(self.hosts, self.around, self.random)
        deadline = asyncio.get_running_loop().time() + self.seconds
        running: set[asyncio.Task[str]] = set()
        while asyncio.get_running_loop().time() < deadline:
            if len(running) < MOST_AT_ONCE:
                fault = self.random.choice(self.faults)()
                running.add(asyncio.ensure_future(fault.strike(field)))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            running -= self.collect(running)
            self.check_processes()
        for description in await asyncio.gather(*running):
            self.struck.append(description)

    def collect(self, running: set[asyncio.Task[str]]) -> set[asyncio.Task[str]]:
        """Return the faults still running, and record the finished ones."""
        done = {task for task in running if task.done()}
        self.struck += [task.result() for task in done]
        return done

    def check_processes(self) -> None:
        """Report processes that exited unexpectedly, each once."""
        for host in self.hosts:
            if message := host.ended_by_itself():
                host.told = host.process
                self.promises.broken(message)

    def check_tokens(self) -> None:
        """Report promotions whose fencing tokens decreased."""
        tokens = [token for _, _, token in self.around.group.promotions]
        if tokens != sorted(tokens):
            self.promises.broken(f"fencing tokens went back: {tokens}")

    def heal(self) -> None:
        """End all remaining faults."""
        self.around.heal()
        for host in self.hosts:
            for proxy in host.proxies:
                proxy.link.heal()
            host.resume()

    async def call(self, host: SoakHostProcess) -> None:
        """Open sessions at a host and use them, one after another."""
        random = Random(f"{self.seed} {host.name}")
        while self.calling:
            await self.use(host, random)
            await asyncio.sleep(random.uniform(0.01, 0.2))

    async def use(self, host: SoakHostProcess, random: Random) -> None:
        """Open one session and run a few operations."""
        self.callers += 1
        name = f"c{self.callers}"
        database = random.choice(list(ROUTES))
        caller = WireCaller(name, database, self.promises, random)
        try:
            await caller.open(host.front.address)
            await caller.operate()
        except SessionEnded:
            # Sessions break under faults; acknowledged statements are still checked.
            pass
        finally:
            caller.close()
            self.done += caller.done

    async def until_served(self, when: str) -> None:
        """Wait until each host serves each database; report one that does not."""
        deadline = asyncio.get_running_loop().time() + SETTLE
        left = {(host.name, one) for host in self.hosts for one in ROUTES}
        by_name = {host.name: host for host in self.hosts}
        while left and asyncio.get_running_loop().time() < deadline:
            for name, database in sorted(left):
                if await self.served(by_name[name], database):
                    left.discard((name, database))
            self.check_processes()
            await asyncio.sleep(POLL)
        if left:
            self.promises.broken(f"{when}: not served within {SETTLE} s: {left}")

    async def served(self, host: SoakHostProcess, database: str) -> bool:
        """Return whether a write and a read succeed at a host."""
        self.callers += 1
        caller = WireCaller(f"c{self.callers}", database, self.promises, self.random)
        try:
            await caller.open(host.front.address)
            written = await caller.ask("WRITE a b")
            read = await caller.ask("READ a")
            return not written.error and not read.error
        except SessionEnded:
            return False
        finally:
            caller.close()


def main(argv: list[str] | None = None) -> int:
    """Run seeds; return the exit code."""
    arguments = docopt(__doc__, argv)
    first_seed = arguments["--first"]
    seed = int(first_seed) if first_seed else Random().randrange(FIRST_SEEDS)
    failed = 0
    for offset in range(int(arguments["--seeds"])):
        folder = Path(arguments["--folder"]) / str(seed + offset)
        soak = Soak(
            seed + offset,
            int(arguments["--hosts"]),
            float(arguments["--seconds"]),
            folder,
            WITH_LIVES if arguments["--no-restores"] else WITH_RESTORES,
        )
        violations = asyncio.run(soak.run())
        failed += bool(violations)
        report(soak, violations)
    print(f"{arguments['--seeds']} seeds, {failed} with violations")
    return 1 if failed else 0


def report(soak: Soak, violations: list[str]) -> None:
    """Print the result of a seed."""
    group = soak.around.group
    print(
        f"seed {soak.seed}: {soak.callers} sessions, {soak.done} statements done, "
        f"{len(soak.promises.acknowledged)} commits, {len(group.promotions)} "
        f"promotions, {len(soak.struck)} faults, "
        f"{soak.around.store.epoch} restores, {len(violations)} broken",
        flush=True,
    )
    for violation in violations[:5]:
        print(f"  {violation}")
    if violations:
        print(f"  faults: {'; '.join(soak.struck)}")


if __name__ == "__main__":
    sys.exit(main())

"""Run seeds of the soak test.

Usage:
  soak [--seeds N] [--first SEED] [--hosts N] [--seconds S] [--folder DIR]
       [--faults DRAW] [--at-once N] [--cuts] [--sync N]
  soak --help

Options:
  --seeds N      How many seeds to run, one after another [default: 50].
  --first SEED   The first seed; random if not given.
  --hosts N      Hosts in three availability zones [default: 6].
  --seconds S    Time of faults, of each seed [default: 20].
  --folder DIR   Where settings and logs are kept [default: build/soak].
  --faults DRAW  Faults to draw from: lives, restores, late, successors, planned,
                 replicas or last-host (with --at-once 1); each draw gives a seed
                 other faults [default: late].
  --at-once N    Most faults at a time [default: 3].
  --cuts         Count a request that a planned end cuts as a violation.
  --sync N       Replicas that receive a commit before it is acknowledged; only with
                 the faults "replicas" no acknowledged commit may be lost then
                 [default: 0].

Exit codes: 0 if all promises were kept, 1 otherwise.
"""

import asyncio
import sys
from pathlib import Path
from random import Random
from typing import Final

from docopt import docopt

from ..promises import GuaranteeChecker
from .caller import LONG_PAUSES, ROUTES, SessionEnded, WireCaller
from .faults import DRAWS, FAULTS, FaultContext, SoakFault
from .hosts import GRACE, SoakHostProcess
from .surroundings import SoakEnvironment

ZONES: Final = ("z0", "z1", "z2")
SETTLE: Final = 30.0
"""Seconds in which all databases must be served, before and after the faults."""

CALLERS_A_HOST: Final = 2
LASTING_A_HOST: Final = 2
"""Callers that use each session until it breaks, with long transactions."""

LONGEST_THINK: Final = 0.03
"""Seconds between two operations of a lasting caller; a host that ends closes a
session only after this much idle time."""

MOSTLY_TRANSACTIONS: Final = 0.5
"""Least choice of a lasting caller; single reads would slow down the check."""

CONTACT: Final = 4.0
"""Seconds before a request without an unplanned fault, for a cut to count."""

LOSS_SLACK: Final = 0.2
"""Seconds after which a request that reached no target may no longer be cut."""

MOST_AT_ONCE: Final = 3
"""Maximum of concurrent faults."""

SERVICE_TRIES: Final = 10
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
        check_cuts: bool = False,
        sync_replicas: int = 0,
    ) -> None:
        self.faults = faults
        self.check_cuts = check_cuts
        self.cuts = 0
        self.forwarded: dict[str, float] = {}
        self.at_once = MOST_AT_ONCE
        self.unplanned = 0
        self.calm_since = float("-inf")
        self.seed = seed
        self.seconds = seconds
        self.folder = folder
        self.random = Random(seed)
        names = [f"h{index}" for index in range(hosts)]
        self.around = SoakEnvironment(list(ZONES), names, sync_replicas)
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
        self.promises.check_synchronous()
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
            host.front.on_forward = self.note_forwarded
            await host.prepare()
            self.hosts.append(host)
        for host in self.hosts:
            await host.start()
        await self.until_served("before any fault")
        calls = []
        for host in self.hosts:
            random = Random(f"{self.seed} {host.name}")
            calls += [self.call(host, random, False) for _ in range(CALLERS_A_HOST)]
            lasting = Random(f"{self.seed} {host.name} lasting")
            calls += [self.call(host, lasting, True) for _ in range(LASTING_A_HOST)]
        call_tasks = [asyncio.ensure_future(call) for call in calls]
        await self.disturb()
        self.heal()
        await self.until_served("after the last fault")
        self.calling = False
        await asyncio.gather(*call_tasks)

    async def disturb(self) -> None:
        """Inject faults for a while, sequentially and overlapping."""
        field = FaultContext(self.hosts, self.around, self.random, self.require_service)
        deadline = asyncio.get_running_loop().time() + self.seconds
        running: set[asyncio.Task[str]] = set()
        while asyncio.get_running_loop().time() < deadline:
            if len(running) < self.at_once:
                fault = self.random.choice(self.faults)()
                running.add(asyncio.ensure_future(self.inject(fault, field)))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            running -= self.collect(running)
            self.check_processes()
        for description in await asyncio.gather(*running):
            self.struck.append(description)

    def fault_context(self) -> FaultContext:
        """Return what the faults act on."""
        return FaultContext(self.hosts, self.around, self.random, self.require_service)

    async def inject(self, fault: SoakFault, field: FaultContext) -> str:
        """Inject a fault; return its description."""
        if fault.planned:
            return await fault.strike(field)
        self.unplanned += 1
        try:
            return await fault.strike(field)
        finally:
            self.unplanned -= 1
            self.calm_since = asyncio.get_running_loop().time()

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

    async def call(self, host: SoakHostProcess, random: Random, lasting: bool) -> None:
        """Open sessions at a host and use them, one after another."""
        while self.calling:
            await self.use(host, random, lasting)
            await asyncio.sleep(random.uniform(0.01, 0.2))

    async def use(self, host: SoakHostProcess, random: Random, lasting: bool) -> None:
        """Open one session and run a few operations, or use it until it ends."""
        caller = self.new_caller(host, random)
        if lasting:
            caller.pauses = LONG_PAUSES
            caller.least_choice = MOSTLY_TRANSACTIONS
        try:
            await caller.open(host.front.address)
            await caller.operate()
            while lasting and self.calling:
                await asyncio.sleep(random.uniform(0.0, LONGEST_THINK))
                await caller.operate()
        except SessionEnded:
            # Sessions break under faults; acknowledged statements are still checked.
            pass
        finally:
            caller.close()
            self.done += caller.done

    def new_caller(self, host: SoakHostProcess, random: Random) -> WireCaller:
        """Return a caller of a random database."""
        self.callers += 1
        database = random.choice(list(ROUTES))
        caller = WireCaller(f"c{self.callers}", database, self.promises, random)
        caller.on_cut = lambda id, sent_at: self.check_cut(host, id, sent_at)
        return caller

    def check_cut(self, host: SoakHostProcess, id: str, sent_at: float) -> None:
        """Count a request that the planned end of its host has cut."""
        now = asyncio.get_running_loop().time()
        if self.unplanned or sent_at < self.calm_since + CONTACT:
            return
        members = self.around.group.members.values()
        owed = now - sent_at > LOSS_SLACK or any(id in one.runs for one in members)
        if not owed or now - host.terminated_at > GRACE + 1.0:
            return
        self.cuts += 1
        if self.check_cuts:
            forwarded_at = self.forwarded.get(id)
            forwarded = (
                "was not forwarded to it"
                if forwarded_at is None
                else f"was forwarded to it {forwarded_at - sent_at:.3f} s after that"
            )
            self.promises.broken(
                f"{id} was cut {now - sent_at:.3f} s after it was sent and "
                f"{now - host.terminated_at:.3f} s after {host.name} was told to end; "
                f"it {forwarded}"
            )

    def note_forwarded(self, data: bytes) -> None:
        """Note when the proxy of a host sent a statement on to it."""
        words = data.split(b" ", 2)
        if words[0] == b"QUERY" and len(words) > 1:
            now = asyncio.get_running_loop().time()
            self.forwarded.setdefault(words[1].decode(), now)

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

    async def require_service(self, host: SoakHostProcess) -> None:
        """Report the databases that a host does not serve.

        Each is tried a few times, since targets may refuse a statement as overloaded.
        """
        left = set(ROUTES)
        for _ in range(SERVICE_TRIES):
            left -= {one for one in left if await self.served(host, one)}
            if not left:
                return
            await asyncio.sleep(POLL)
        self.promises.broken(f"{host.name}, the last host, does not serve {left}")

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
            DRAWS[arguments["--faults"]],
            arguments["--cuts"],
            int(arguments["--sync"]),
        )
        soak.at_once = int(arguments["--at-once"])
        violations = asyncio.run(soak.run())
        failed += bool(violations)
        report(soak, violations)
    print(f"{arguments['--seeds']} seeds, {failed} with violations")
    return 1 if failed else 0


def report(soak: Soak, violations: list[str]) -> None:
    """Print the result of a seed."""
    group = soak.around.group
    errors = sum(host.log_file.read_bytes().count(b"Traceback") for host in soak.hosts)
    print(
        f"seed {soak.seed}: {soak.callers} sessions, {soak.done} statements done, "
        f"{len(soak.promises.acknowledged)} commits, {len(group.promotions)} "
        f"promotions, {len(soak.struck)} faults, "
        f"{soak.around.store.epoch} restores, {soak.cuts} cut by planned ends, "
        f"{errors} tracebacks, {len(violations)} broken",
        flush=True,
    )
    for violation in violations[:5]:
        print(f"  {violation}")
    if violations:
        print(f"  faults: {'; '.join(soak.struck)}")


if __name__ == "__main__":
    sys.exit(main())

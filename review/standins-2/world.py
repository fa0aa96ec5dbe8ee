"""A small deployment on loopback: the platform, one service and the hosts."""

import asyncio
import json
import os
import shutil
import sys
import tempfile

from hosts import Caller, Ended, Host, Record
from members import Group
from store import Cloud, Store

SERVICE = "dele69a"
ROUTES = {"gates": "primary", "views": "bounded_staleness", "reports": "own_writes"}
HEARTBEAT_S = 1.2


class World:
    """Start and end everything that a script needs."""

    def __init__(self, folder, zones=("z0", "z1", "z2"), hosts=3, grace_s=6,
                 timeout_ms=800, sync=0, **group):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.zones, self.grace_s, self.timeout_ms = list(zones), grace_s, timeout_ms
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.sync = sync
        names = [f"i-{index}a{index}" for index in range(len(self.zones))]
        self.group = Group(SERVICE, names, self.zones, self.record, sync, **group)
        self.cloud = Cloud(self.group, self.record)
        self.host_count = hosts
        self.hosts = []
        self.version = 0
        self.announcing = None
        self.said = {}

    async def start(self):
        await self.store.start()
        await self.cloud.start()
        await self.group.start()
        self.configure()
        self.announcing = asyncio.ensure_future(self.announce())
        for index in range(self.host_count):
            host = Host(
                index, self.zones[index % len(self.zones)], self.zones, self.folder,
                self.store.address, self.cloud.address, self.grace_s,
            )
            self.hosts.append(host)
        for host in self.hosts:
            await host.start()

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 3
        routes = [
            {
                "name": f"r-{name}", "host": name, "prefix": "/", "kind": kind,
                "timeout_ms": self.timeout_ms, "target_latency_ms": 200,
                "priority": 1, "service": SERVICE, "max_attempts": 2,
                **({} if kind == "primary" else {"max_staleness_ms": 2500}),
            }
            for name, kind in ROUTES.items()
        ]
        config = {
            "version": self.version, "routes": routes,
            "services": [{
                "name": SERVICE, "health_path": "/health",
                "connection_limit": self.group.connection_limit, "protocol": "h1",
                "tls": False, "sync_replicas": self.sync,
            }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                "transaction_idle_ms": 3000,
            },
            **changes,
        }
        self.store.write("op/config", json.dumps(config).encode())
        self.record("config", version=self.version)

    async def announce(self):
        """Each member writes its entry at each heartbeat and each change."""
        silent_since = {}
        while True:
            now = asyncio.get_running_loop().time()
            for member in self.group.members.values():
                key = f"servers/{member.name}"
                if not member.up or member.dark:
                    since = silent_since.setdefault(member.name, now)
                    if now - since >= 3 * HEARTBEAT_S and key in self.store.items:
                        self.store.write(key, None)
                        self.said.pop(member.name, None)
                    continue
                silent_since.pop(member.name, None)
                state = (member.state, member.role, member.address)
                said = self.said.get(member.name)
                if said is None or said[0] != state or now - said[1] >= HEARTBEAT_S:
                    member.sequence += 1
                    self.said[member.name] = (state, now)
                    self.store.write(key, json.dumps(member.announcement()).encode())
            await asyncio.sleep(0.05)

    async def until_served(self, seconds=30.0):
        """Wait until each host serves a write; return whether all did."""
        deadline = asyncio.get_running_loop().time() + seconds
        left = set(self.hosts)
        while left and asyncio.get_running_loop().time() < deadline:
            for host in list(left):
                caller = Caller(self.record, "gates", "setup")
                try:
                    await caller.open(f"{host.ip}:{host.callers}")
                    answer = await caller.ask("WRITE warm up", quiet=True)
                    if not answer.error:
                        left.discard(host)
                except (Ended, OSError):
                    pass
                finally:
                    caller.close()
            await asyncio.sleep(0.1)
        return not left

    def address(self, index):
        return f"{self.hosts[index].ip}:{self.hosts[index].callers}"

    async def stop(self):
        if self.announcing is not None:
            self.announcing.cancel()
        for host in self.hosts:
            await host.kill()
        self.group.stop()
        self.store.stop()
        self.cloud.stop()
        self.record.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder, **settings):
    """Play a script; exit with 1 if the rule broke, 0 if it held, 2 if not run."""

    async def run():
        world = World(folder, **settings)
        try:
            async with asyncio.timeout(110):
                await world.start()
                if not await world.until_served():
                    world.record("not served at the start")
                    return 2
                return await play(world, os.environ.get("TROUBLE", "1") != "0")
        except TimeoutError:
            world.record("took too long")
            return 2
        finally:
            await world.stop()

    code = asyncio.run(run())
    print({0: "the rule held", 1: "the rule broke", 2: "could not run"}[code])
    sys.exit(code)

"""Stand-ins of a small deployment around real hosts: store, members, duties, callers.

One process plays the platform, the members of one service and the requesters. The hosts
are started with the command of `deploy/system.toml`, each on a loopback address of its
own. Members follow `PROTOCOL.md`; where it is silent, they act like a sound database.
"""

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

import orjson  # noqa: E402
from aiohttp import web  # noqa: E402

from reedhook_standins.keyvalue import KeyValueStandIn  # noqa: E402

SERVICE = "feedlog-db"
LEASE_KEY = f"reedhook/lead/{SERVICE}"
ZONES = ("vittoria", "comiso", "ragusa-office", "ispica")
HOST_ZONES = (0, 0, 0, 1, 1, 2, 2, 3, 3)
MEMBER_ZONES = (0, 1, 2)
ROUTES = {
    "tickets": ("primary", None, 800),
    "views": ("bounded_staleness", 1500, 1200),
    "reports": ("own_writes", 2500, 800),
}
STORE_ANSWER_S = 0.004
PROMOTE_S = 0.3
LAG_S = 0.008
WORK_S = 0.003
HANDSHAKE_S = 0.012
SLOTS = 2
CONNECTIONS = 16
STEP_DOWN_S = 1.0
GRACE_S = 6.0
PATIENCE_S = 3.0
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOADED"}


class Record:
    """Write lines with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Store(KeyValueStandIn):
    """The project's store, with an answer time and a write whose answer is lost.

    :ivar lose_next: seconds after which the next write is done, and never answered.
    """

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.lose_next = None
        self.lost_done = asyncio.Event()
        self.sessions = {}

    async def change(self, request):
        await asyncio.sleep(STORE_ANSWER_S)
        if self.lose_next is None:
            return await super().change(request)
        delay, self.lose_next = self.lose_next, None
        body = orjson.loads(await request.read())
        keys = [row["key"] for row in body["writes"]]
        self.record.line(f"store: a write of {keys} gets no answer; done {delay} s later")
        self.late = asyncio.ensure_future(self.apply_late(body, delay))
        await asyncio.sleep(60.0)
        return web.Response(status=503)

    async def apply_late(self, body, delay):
        await asyncio.sleep(delay)
        for row in body["expect"]:
            known = self.items.get(row["key"], {"revision": 0})
            if known["revision"] != row["revision"]:
                self.record.line("store: the condition of the late write fails")
                return
        for row in body["writes"]:
            self.write(row["key"], base64.b64decode(row["value"]), row["lease"])
        self.record.line("store: the late write is done")
        self.lost_done.set()

    async def key(self, request):
        await asyncio.sleep(STORE_ANSWER_S)
        return await super().key(request)

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))


class Commit:
    """One commit at a member."""

    def __init__(self, term, number, writes, ids):
        self.term, self.number, self.writes, self.ids = term, number, writes, ids

    @property
    def position(self):
        return (self.term, self.number)


class Member:
    """A member: a log, a role, slots, and connections with session state."""

    def __init__(self, name, zone, group):
        self.name, self.zone, self.group = name, zone, group
        self.log = []
        self.term = 1
        self.leads = False
        self.dark = False
        self.links = set()
        self.writers = set()
        self.started = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.state = "ready"
        self.address = ""

    def position(self):
        return self.log[-1].position if self.log else (self.term, 0)

    def text(self):
        return "%d.%d" % self.position()

    async def listen(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.server = server
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        session = Session(self, writer)
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                if self.dark:
                    # Nothing is answered; the connection ends with the outage.
                    await asyncio.sleep(60.0)
                    return
                answer = await session.answer(line[:-2].decode("latin-1"))
                if self.dark:
                    await asyncio.sleep(60.0)
                    return
                writer.write(answer)
                await writer.drain()
                if session.ended:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # The end of the case.
            return
        finally:
            self.writers.discard(writer)
            self.links.discard(session)
            writer.close()

    def go_dark(self):
        self.dark = True

    def come_back(self):
        self.dark = False
        for writer in list(self.writers):
            writer.transport.abort()
        self.links.clear()


class Session:
    """One connection to a member."""

    def __init__(self, member, writer):
        self.member = member
        self.group = member.group
        self.values, self.prepared = {}, {}
        self.open, self.writes, self.failed = "", [], False
        self.started = self.ended = False

    def ready(self):
        state = "E" if self.failed else "T" if self.open else "I"
        return f"READY {state} {self.member.text()}\r\n"

    def done(self, rows=(), mac="-"):
        body = "".join(f"ROW {row}\r\n" for row in rows)
        return (body + f"COMPLETE {mac}\r\n" + self.ready()).encode("latin-1")

    def error(self, code):
        if self.open and code != "BUSY":
            self.failed = True
        return (f"ERROR {code} {self.member.name}\r\n" + self.ready()).encode("latin-1")

    async def answer(self, line):
        member = self.member
        if not self.started:
            word, service, _, name = (line.split(" ") + ["", "", ""])[:4]
            if word != "START" or service != SERVICE or name not in ("", member.name):
                self.ended = True
                return f"ERROR MISROUTED {member.name}\r\n".encode()
            if len(member.links) >= CONNECTIONS:
                self.ended = True
                return f"ERROR OVERLOADED {member.name}\r\n".encode()
            member.links.add(self)
            self.started = True
            async with member.slots:
                await asyncio.sleep(HANDSHAKE_S)
            return f"READY I {member.text()}\r\n".encode()
        word, id, text = (line.split(" ", 2) + ["", ""])[:3]
        if word == "TERMINATE":
            self.ended = True
            return b""
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
            after = tuple(int(one) for one in after.split("."))
        if text == "STATUS":
            role = "primary" if member.leads else "replica"
            row = f"{role} {member.term} {member.text()} 0 0 0 {len(member.links)}"
            return self.done([row])
        if id != "-":
            self.group.ran(id, text, self)
        return await self.run(id, text, after)

    async def run(self, id, text, after):
        member = self.member
        word, _, rest = text.partition(" ")
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            return self.error("MALFORMED")
        if after is not None and after not in {one.position for one in member.log}:
            if after[1] > 0:
                return self.error("LAGGING")
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("UNKNOWN")
            word = self.prepared[name].split(" ")[0]
        if word in ("READ", "WRITE", "COMMIT"):
            async with member.slots:
                await asyncio.sleep(self.group.work_s)
        if member.dark:
            return b""
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return self.done()
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.done()
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return self.done()
        if word == "DEALLOCATE":
            return self.done() if self.prepared.pop(rest, None) else self.error("UNKNOWN")
        if word == "BEGIN":
            if not rest and not member.leads:
                return self.error("READONLY")
            self.open, self.writes = ("read" if rest else "write"), []
            return self.done()
        if word == "ROLLBACK":
            self.open, self.writes, self.failed = "", [], False
            return self.done()
        if word == "DEMOTE":
            if int(rest) > member.term and member.leads:
                self.group.step_down(member, "DEMOTE")
            return self.done()
        if word == "READ":
            if self.open == "write" and not member.leads:
                return self.error("READONLY")
            self.group.was_read(id, self)
            row = ""
            for commit in member.log:
                row = commit.writes.get(rest, row)
            return self.done([row] if row else [], secrets.token_hex(8))
        if word == "WRITE":
            if not member.leads or self.open == "read":
                return self.error("READONLY")
            item, _, data = rest.partition(" ")
            self.writes.append((id, item, data))
            if not self.open:
                return self.commit(id)
            return self.done([], secrets.token_hex(8))
        if word == "COMMIT":
            if self.failed or (self.writes and not member.leads):
                self.open, self.writes, self.failed = "", [], False
                return self.error("READONLY")
            return self.commit(id)
        return self.error("MALFORMED")

    def commit(self, id):
        writes, self.writes, self.open, self.failed = self.writes, [], "", False
        mac = secrets.token_hex(8)
        if writes:
            self.group.commit(self.member, id, writes, mac)
        return self.done([], mac)


class Group:
    """The members of the service, and what happened at them."""

    def __init__(self, record, store):
        self.record, self.store = record, store
        self.members = {}
        for index, zone in enumerate(MEMBER_ZONES):
            name = f"i-{index}{secrets.token_hex(3)}"
            self.members[name] = Member(name, ZONES[zone], self)
        self.leader = next(iter(self.members.values()))
        self.leader.leads = True
        self.term = 1
        self.tasks = set()
        self.by_id = {}
        self.superseded = {}
        self.reads = {}
        self.rolled_back = set()
        self.passed_on = {}
        self.arrivals = {}
        self.work_s = WORK_S

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def ran(self, id, text, session):
        now = self.passed_on[id] = self.record.now()
        if not session.open:
            arrived = self.arrivals.setdefault(session.member.name, [])
            arrived.append((now, id, text))
        self.record.line(f"{session.member.name}: runs {id} {text}")

    def was_read(self, id, session):
        """Keep the log that a read ran on."""
        member = session.member
        positions = frozenset(one.position for one in member.log)
        self.reads[id] = (positions, member.name, self.record.now())

    def commit(self, member, id, writes, mac):
        number = member.position()[1] + 1
        items = {item: data for _, item, data in writes}
        commit = Commit(member.term, number, items, [one for one, _, _ in writes])
        member.log.append(commit)
        self.by_id[id] = commit
        late = member.term < self.term
        note = " AFTER A PROMOTE TOOK EFFECT" if late else ""
        self.record.line(
            f"{member.name}: commits {commit.term}.{number} for {id}, term {self.term}{note}"
        )
        if late:
            self.superseded[id] = commit
            return
        for other in self.members.values():
            if other is not member:
                self.spawn(self.replicate(member, other))

    async def replicate(self, source, other):
        await asyncio.sleep(LAG_S)
        while other.dark or source.dark:
            await asyncio.sleep(0.02)
        if source is self.leader and not other.leads:
            for commit in other.log:
                if commit not in source.log:
                    self.rolled_back.add(commit.position)
            other.log, other.term = list(source.log), source.term

    async def promote(self, name):
        member = self.members[name]
        await asyncio.sleep(PROMOTE_S)
        former = self.leader
        if member is former or member.dark:
            return
        self.term += 1
        for commit in former.log:
            if commit not in member.log:
                self.rolled_back.add(commit.position)
        member.term, member.leads, self.leader = self.term, True, member
        self.record.line(
            f"{name} leads term {self.term} with {member.text()}; {former.name} had "
            f"{former.text()}"
        )
        self.announce(member)
        for other in self.members.values():
            if other not in (member, former):
                self.spawn(self.replicate(member, other))
        self.spawn(self.notice(former))

    async def notice(self, former):
        """End the former primary a second after it can reach the new one."""
        since = time.monotonic()
        while time.monotonic() - since < STEP_DOWN_S:
            await asyncio.sleep(0.02)
            if former.dark or self.leader.dark:
                since = time.monotonic()
        self.step_down(former, "sees the new primary")

    def step_down(self, member, cause):
        if member.leads and member is not self.leader:
            member.leads = False
            self.record.line(f"{member.name} leads no more: {cause}")
            self.announce(member)
            self.spawn(self.replicate(self.leader, member))

    async def add_replacement(self, old):
        """Start a new member in the zone of one that is to leave, with its log."""
        name = f"i-{len(self.members)}{secrets.token_hex(3)}"
        member = Member(name, old.zone, self)
        member.log, member.term = list(self.leader.log), self.leader.term
        self.members[name] = member
        await member.listen()
        self.announce(member)
        await asyncio.sleep(2 * LAG_S)
        await self.replicate(self.leader, member)

    def drain(self, member):
        """Report a member as draining; return when the store accepted that.

        It goes on serving for longer than any case lasts.
        """
        member.state = "draining"
        self.announce(member)
        return self.record.now()

    def announce(self, member):
        member.started += 1
        self.store.write(
            f"servers/{member.name}",
            orjson.dumps(
                {
                    "service": SERVICE,
                    "address": member.address,
                    "zone": member.zone,
                    "version": "v1",
                    "slots": SLOTS,
                    "state": member.state,
                    "cold_remaining_ms": 0,
                    "database_role": "primary" if member.leads else "replica",
                    "sequence": member.started,
                }
            ),
        )


class Host:
    """One host, started with the command of the deploy file."""

    def __init__(self, index, folder, world):
        self.name = f"front-{index + 1}"
        self.zone = ZONES[HOST_ZONES[index]]
        self.ip = f"127.0.31.{10 + index}"
        sockets = [socket.socket() for _ in range(4)]
        for one in sockets:
            one.bind((self.ip, 0))
        ports = sorted(one.getsockname()[1] for one in sockets)
        for one in sockets:
            one.close()
        self.front, self.ready, self.first, self.last = ports
        self.settings = folder / f"{self.name}.settings"
        self.log = folder / f"{self.name}.log"
        self.world = world
        self.process = None

    def write_settings(self):
        lines = {
            "node_name": self.name,
            "role": "host",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": self.zone,
            "region": "sicilia-se",
            **{f"zones.{zone}": "sicilia-se" for zone in ZONES},
            "listen.front": f"{self.ip}:{self.front}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "internal_ports": f"{self.first},{self.last}",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.link_mbps": "1000.0",
            "discovery": "platform",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,sql,platform",
            "bounds.grace_s": "6",
            "bounds.drain_ms": "7000",
            "bounds.config_apply_ms": "3000",
            "platform.address": self.world.store_address(self),
            "platform.form": "kv",
            "cloud.address": self.world.cloud,
            "cloud.duties": "promotion",
        }
        text = "".join(f"{name}={value}\n" for name, value in lines.items())
        self.settings.write_text(text)

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["host"]["run"].split(" ")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["REEDHOOK_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.write_settings()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number=signal.SIGTERM, limit=GRACE_S):
        if self.process is None:
            return
        self.send(number)
        try:
            async with asyncio.timeout(limit):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()


class Ended(Exception):
    """The session has ended or does not answer."""


class Answer:
    """The answer to one statement."""

    def __init__(self, id, rows, mac, error, state, sent, got):
        self.id, self.rows, self.mac, self.error = id, rows, mac, error
        self.state, self.sent, self.got = state, sent, got


class Caller:
    """One session of a requester."""

    count = 0

    def __init__(self, world, host, database="tickets"):
        Caller.count += 1
        self.name = f"u{Caller.count}"
        self.world, self.host, self.database = world, host, database
        self.writer = None
        self.state = "I"
        self.last_id = ""

    async def open(self):
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    self.host.ip, self.host.front
                )
                self.writer.write(f"START {self.database} {self.name}\r\n".encode())
                line = await self.line()
        except (OSError, TimeoutError) as error:
            raise Ended(repr(error)) from error
        if not line.startswith("READY"):
            raise Ended(line)
        return self

    async def line(self):
        data = await self.reader.readline()
        if not data.endswith(b"\r\n"):
            raise Ended("closed")
        return data[:-2].decode("latin-1")

    async def ask(self, text):
        id = self.last_id = secrets.token_hex(8)
        record = self.world.record
        sent = record.now()
        record.line(f"{self.name}@{self.host.name}: sends {id} {text}")
        self.writer.write(f"QUERY {id} {text}\r\n".encode())
        rows, mac, error = [], "", ""
        try:
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    word, _, rest = (await self.line()).partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        mac = rest
                    elif word == "ERROR":
                        error = rest
                    else:
                        break
        except (OSError, TimeoutError) as failure:
            record.line(f"{self.name}: no answer to {id}: {failure!r}")
            raise Ended(repr(failure)) from failure
        self.state = rest.split(" ")[0]
        shown = f"ERROR {error}" if error else f"COMPLETE {mac} {rows}"
        record.line(f"{self.name}@{self.host.name}: {id} is answered {shown} {self.state}")
        answer = Answer(id, rows, mac, error, self.state, sent, record.now())
        self.world.answers.append((text, answer))
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()


class World:
    """All of it."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="reedhook-review-"))
        self.store = Store(self.record)
        self.group = Group(self.record, self.store)
        self.hosts = []
        self.cloud = ""
        self.answers = []
        self.links = {}

    def store_address(self, host):
        return self.store.address

    async def start(self, version=1):
        await self.store.start()
        for member in self.group.members.values():
            await member.listen()
            self.group.announce(member)
        await self.start_cloud()
        self.configure(version)
        self.hosts = [Host(index, self.folder, self) for index in range(len(HOST_ZONES))]
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def start_cloud(self):
        app = web.Application()
        app.router.add_post("/promotion", self.promote)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        host, port = self.runner.addresses[0][:2]
        self.cloud = f"{host}:{port}"

    async def promote(self, request):
        body = orjson.loads(await request.read())
        holder = request.headers["Duty-Holder"]
        token = request.headers["Fencing-Token"]
        self.record.line(f"cloud: promotion of {body['id']} by {holder}, token {token}")
        member = self.group.members.get(body["id"])
        if member is None or member.dark:
            return web.Response(status=409)
        self.group.spawn(self.group.promote(body["id"]))
        return web.Response(status=200)

    def configure(self, version):
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "prefix": "/",
                "kind": kind,
                "timeout_ms": timeout,
                "target_latency_ms": 200,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
                **({} if age is None else {"max_staleness_ms": age}),
            }
            for name, (kind, age, timeout) in ROUTES.items()
        ]
        message = {
            "version": version,
            "routes": routes,
            "services": [{"name": SERVICE, "connection_limit": CONNECTIONS}],
            "limits": {"transaction_idle_ms": 3000},
        }
        self.store.write("op/config", orjson.dumps(message))

    async def until_served(self, limit=30.0):
        """Wait until each host serves each database; return whether all do."""
        deadline = time.monotonic() + limit
        left = [(host, name) for host in self.hosts for name in ROUTES]
        while left and time.monotonic() < deadline:
            for host, name in list(left):
                caller = Caller(self, host, name)
                try:
                    await caller.open()
                    answers = [await caller.ask("WRITE a b"), await caller.ask("READ a")]
                    if not any(one.error for one in answers):
                        left.remove((host, name))
                except Ended:
                    pass
                finally:
                    caller.close()
            await asyncio.sleep(0.1)
        return not left

    def holder(self):
        """Return the host that the record of the service names."""
        value = self.store.value(LEASE_KEY)
        name = value["holder"]["ref"][0] if value else ""
        return next((host for host in self.hosts if host.name == name), None)

    async def stop(self):
        await asyncio.gather(*(host.stop(signal.SIGKILL) for host in self.hosts))
        for member in self.group.members.values():
            member.server.close()
        await self.runner.cleanup()
        await self.store.stop()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(play, folder):
    """Run a case; return 0 if the rule held, 1 if it broke, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(Path(folder) / "record.txt")
        try:
            async with asyncio.timeout(110.0):
                await world.start()
                if not await world.until_served():
                    world.record.line("the deployment does not serve")
                    return 2
                return await play(world, trouble)
        except TimeoutError:
            world.record.line("out of time")
            return 2
        finally:
            await world.stop()

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(repr(error), file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(code)

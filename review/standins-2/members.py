"""Stand-in of the members of one service: a log, replication, sessions, promotion."""

import asyncio
import itertools
import json
from collections import deque

CODES_WITHOUT_EFFECT = ("BUSY", "UNKNOWN", "LAGGING", "READONLY")


class Member:
    """One member: a server of the wire protocol with a replicated log."""

    def __init__(self, group, name, zone):
        self.group = group
        self.name = name
        self.zone = zone
        self.term = 1
        self.role = "replica"
        self.log = []  # entries (term, number, ids)
        self.up = False
        self.state = "ready"
        self.announced = True
        self.deaf = False
        self.gone = False
        self.sequence = 0
        self.slots = asyncio.Semaphore(group.slots)
        self.waiting = 0
        self.writers = set()
        self.server = None
        self.address = ""
        self.port = 0
        self.work_s = group.work_s
        self.answering = True
        self.dark = False

    # Life

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 21
        )
        host, self.port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self.port}"
        self.up = True

    def crash(self):
        """End at once; connections break, and the log is kept."""
        self.up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.group.note("crash", member=self.name, position=self.position())

    async def come_back(self):
        """Start again with the log; as a replica if another member was promoted."""
        if self.group.newest_term > self.term:
            self.role = "replica"
        await self.start()
        self.group.note("back", member=self.name, role=self.role)

    async def until_bright(self):
        """Wait while nothing passes to or from the member."""
        while self.dark:
            await asyncio.sleep(0.01)

    # State

    def position(self):
        if not self.log:
            return f"{self.term}.0"
        return f"{self.log[-1][0]}.{self.log[-1][1]}"

    def holds(self, position):
        term, _, number = position.partition(".")
        if number == "0":
            return True
        return any(
            entry[0] == int(term) and entry[1] == int(number) for entry in self.log
        )

    def announcement(self):
        return {
            "service": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.group.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "database_role": self.role,
            "sequence": self.sequence,
        }

    # Wire

    async def serve(self, reader, writer):
        self.writers.add(writer)
        session = Connection(self)
        try:
            line = await read_line(reader)
            await self.until_bright()
            fields = line.split(" ")
            if fields[0] != "START" or fields[1] != self.group.service:
                writer.write(b"ERROR MISROUTED no\r\n")
                return
            if len(fields) > 3 and fields[3] != self.name:
                writer.write(b"ERROR MISROUTED no\r\n")
                return
            if len(self.writers) > self.group.connection_limit:
                writer.write(b"ERROR OVERLOADED no\r\n")
                return
            writer.write(f"READY I {self.position()}\r\n".encode("latin-1"))
            while True:
                line = await read_line(reader)
                await self.until_bright()
                if line == "TERMINATE":
                    return
                word, _, rest = line.partition(" ")
                id, _, text = rest.partition(" ")
                if word != "QUERY":
                    return
                reply = await session.run(id, text)
                await self.until_bright()
                if not self.up or not self.answering:
                    return
                writer.write(reply.encode("latin-1"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            session.close()
            self.writers.discard(writer)
            writer.close()


class Connection:
    """One connection to a member: session values, prepared names, a transaction."""

    def __init__(self, member):
        self.member = member
        self.group = member.group
        self.values = {}
        self.prepared = {}
        self.open = ""
        self.failed = False
        self.written = []
        self.closed = False

    def close(self):
        self.closed = True
        self.written, self.open = [], ""

    def state(self):
        if self.failed:
            return "E"
        return "T" if self.open else "I"

    def done(self, rows=(), mac="-"):
        lines = [f"ROW {row}\r\n" for row in rows]
        lines.append(f"COMPLETE {mac}\r\n")
        lines.append(f"READY {self.state()} {self.member.position()}\r\n")
        return "".join(lines)

    def error(self, code, text="no"):
        if self.open and code != "BUSY":
            self.failed = True
        return (
            f"ERROR {code} {text}\r\nREADY {self.state()} {self.member.position()}\r\n"
        )

    async def run(self, id, text):
        after = ""
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            return self.error("MALFORMED")
        if after and not self.member.holds(after):
            return self.error("LAGGING", self.member.name)
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return self.done()
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return self.done()
        if word == "DEALLOCATE":
            if self.prepared.pop(rest, None) is None:
                return self.error("UNKNOWN")
            return self.done()
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return self.done()
        if word == "BEGIN":
            if not rest and self.member.role != "primary":
                return self.error("READONLY", self.member.name)
            self.open = rest or "WRITE"
            return self.done()
        if word == "ROLLBACK":
            self.open, self.failed, self.written = "", False, []
            return self.done()
        if word == "DEMOTE":
            if self.member.role == "primary" and self.member.term < int(rest):
                self.group.demote(self.member)
            return self.done([self.status()])
        return await self.with_slot(id, word, rest)

    def status(self):
        member = self.member
        busy = self.group.slots - member.slots._value
        return (
            f"{member.role} {member.term} {member.position()} {member.term} 0 "
            f"{busy} {len(member.writers)}"
        )

    async def with_slot(self, id, word, rest):
        member = self.member
        if member.waiting >= self.group.queue:
            return self.error("BUSY")
        member.waiting += 1
        try:
            await member.slots.acquire()
        finally:
            member.waiting -= 1
        try:
            await asyncio.sleep(0 if word == "STATUS" else member.work_s)
            if self.closed or not member.up:
                return ""
            return await self.work(id, word, rest)
        finally:
            member.slots.release()

    async def work(self, id, word, rest):
        member = self.member
        if word == "STATUS":
            return self.done([self.status()])
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self.error("UNKNOWN")
            word = self.prepared[name][0]
        if word == "READ":
            self.group.ran(id, member, self)
            row = json.dumps(
                {
                    "position": member.position(),
                    "values": self.values,
                    "prepared": self.prepared,
                }
            )
            return self.done([row], f"mac.{id}")
        if word == "WRITE":
            if member.role != "primary" or self.open == "READ":
                return self.error("READONLY", member.name)
            self.group.ran(id, member, self)
            if self.open:
                self.written.append(id)
                return self.done((), f"mac.{id}")
            if not await self.group.commit(member, [id]):
                return ""
            return self.done((), f"mac.{id}")
        if word == "COMMIT":
            written, self.written = self.written, []
            failed, self.failed, self.open = self.failed, False, ""
            if failed:
                return self.error("ABORTED")
            if written and member.role != "primary":
                return self.error("READONLY", member.name)
            self.group.ran(id, member, self)
            if written and not await self.group.commit(member, written):
                return ""
            return self.done((), f"mac.{id}")
        return self.error("MALFORMED")


class Group:
    """The members of one service, with asynchronous replication."""

    def __init__(
        self,
        service,
        names,
        zones,
        note,
        sync=0,
        slots=2,
        queue=16,
        connection_limit=34,
        lag_s=0.008,
        promote_s=0.3,
        work_s=0.003,
    ):
        self.service, self.note = service, note
        self.sync, self.slots, self.queue = sync, slots, queue
        self.connection_limit, self.lag_s = connection_limit, lag_s
        self.promote_s, self.work_s = promote_s, work_s
        self.members = {
            name: Member(self, name, zone) for name, zone in zip(names, zones)
        }
        self.newest_term = 1
        self.primary = self.members[names[0]]
        self.primary.role = "primary"
        self.tasks = set()
        self.runs = []
        self.promotions = []
        self.received = asyncio.Event()
        self.promoting = {}
        self.on_commit = lambda member, entry: None

    async def start(self):
        for member in self.members.values():
            await member.start()
        for member in self.members.values():
            self.spawn(self.replicate(member))

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for member in self.members.values():
            if member.up:
                member.server.close()
            for writer in list(member.writers):
                writer.transport.abort()

    def ran(self, id, member, connection):
        if id != "-":
            self.runs.append((id, member.name))
            self.note("run", id=id, member=member.name)

    async def commit(self, member, ids):
        """Commit at the primary; with `sync`, once one replica has received it."""
        number = (member.log[-1][1] if member.log else 0) + 1
        entry = (member.term, number, tuple(ids))
        member.log.append(entry)
        self.on_commit(member, entry)
        while self.sync:
            others = [one for one in self.members.values() if one is not member]
            if sum(entry in one.log for one in others) >= self.sync:
                break
            await self.received.wait()
            if not member.up:
                return False
        return True

    async def replicate(self, replica):
        """Send the entries of the newest primary to a replica, each after a lag."""
        while True:
            await asyncio.sleep(self.lag_s)
            source = self.primary
            if replica is source or replica.role != "replica":
                continue
            if replica.deaf or replica.dark or source.dark:
                continue
            if not replica.up or not source.up:
                continue
            if replica.log != source.log[: len(replica.log)]:
                # It was ahead: rolled back to what the primary holds.
                common = 0
                for mine, theirs in zip(replica.log, source.log):
                    if mine != theirs:
                        break
                    common += 1
                replica.log = replica.log[:common]
            if len(replica.log) < len(source.log):
                replica.log = list(source.log)
                self.received.set()
                self.received = asyncio.Event()
            replica.term = source.term

    def order(self, service, name):
        """Take a promotion order; return the status."""
        member = self.members.get(name)
        if service != self.service or member is None or not member.up:
            return 409
        if member is self.primary or name in self.promoting:
            return 200
        self.promoting[name] = True
        self.spawn(self.promote(member))
        return 200

    async def promote(self, member):
        await asyncio.sleep(self.promote_s)
        self.promoting.pop(member.name, None)
        if not member.up or member is self.primary:
            return
        old = self.primary
        self.newest_term += 1
        member.term, member.role, member.deaf = self.newest_term, "primary", False
        self.primary = member
        self.promotions.append((member.name, list(member.log)))
        self.note(
            "promoted", member=member.name, old=old.name, term=member.term,
            position=member.position(),
        )
        if old.up:
            self.spawn(self.step_down(old))

    async def step_down(self, old):
        """The old primary steps down a second after it can reach the new one."""
        reached_s = 0.0
        while old is not self.primary and old.up and old.role == "primary":
            await asyncio.sleep(0.05)
            new = self.primary
            reached = new.up and not new.dark and not old.dark
            reached_s = reached_s + 0.05 if reached else 0.0
            if reached_s >= 1.0:
                self.demote(old)

    def demote(self, member):
        if member.role == "primary" and member is not self.primary:
            member.role = "replica"


async def read_line(reader):
    line = await reader.readuntil(b"\r\n")
    return line[:-2].decode("latin-1")

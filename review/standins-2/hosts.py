"""Hosts of the project as processes, callers, and the record of a script."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class Record:
    """Write `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, what, **fields):
        self.file.write(f"{self.now():9.4f} {what} {json.dumps(fields)}\n")

    def close(self):
        self.file.close()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return sorted(ports)


class Host:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, index, zone, zones, folder, store, cloud, grace_s=6, extra=None):
        base = os.getpid()
        self.ip = f"127.{1 + base // 250 % 250}.{base % 250}.{10 + index}"
        self.name = f"front-{zone}-{index}"
        self.zone = zone
        self.callers, self.ready, self.peers, self.metrics = free_ports(self.ip, 4)
        self.settings = Path(folder) / f"{self.name}.conf"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None
        fields = {
            "node_name": self.name,
            "role": "host",
            "machine_class": "front",
            "serves": "front",
            "ip": self.ip,
            "zone": zone,
            "region": "region",
            **{f"zones.{one}": "region" for one in zones},
            "listen.front": f"{self.ip}:{self.callers}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "internal_ports": f"{self.peers},{self.metrics}",
            "first_start": "true",
            "in_tolerance": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.file_descriptors": "4200",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "contracts": "base,drain,config,cost,recover,sql,platform",
            "bounds.contact_ms": "4000",
            "bounds.drain_ms": "7000",
            "bounds.grace_s": str(grace_s),
            "bounds.config_apply_ms": "3000",
            "bounds.fencing_enforced": "false",
            "platform.address": store,
            "platform.form": "kv",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
            "platform.ttl_min_ms": "1000",
            "cloud.address": cloud,
            "cloud.duties": "promotion",
            **(extra or {}),
        }
        self.settings.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))

    async def start(self):
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "REEDHOOK_SETTINGS": str(self.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-S", "deploy/reedhookd.py", "--platform",
                cwd=str(ROOT), env=environment, stdout=log, stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


class Answer:
    """One answer: rows, MAC or error, state and position."""

    def __init__(self):
        self.rows, self.mac, self.error, self.state, self.position = [], "", "", "", ""
        self.text = ""


class Ended(Exception):
    """The session ended or did not answer."""


class Caller:
    """One session of a requester, which waits for each answer."""

    numbers = itertools.count(1)

    def __init__(self, record, database, name="c", patience=2.0):
        self.record, self.database, self.name = record, database, name
        self.patience = patience
        self.reader = self.writer = None

    async def open(self, address):
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                self.reader, self.writer = await asyncio.open_connection(
                    host, int(port), limit=1 << 23
                )
                self.writer.write(f"START {self.database} {self.name}\r\n".encode())
                line = await self.line()
        except (OSError, TimeoutError) as error:
            raise Ended(repr(error)) from error
        if not line.startswith("READY"):
            raise Ended(line)

    async def line(self):
        try:
            data = await self.reader.readuntil(b"\r\n")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise Ended(repr(error)) from error
        return data[:-2].decode("latin-1")

    async def ask(self, text, quiet=False):
        id = f"{next(self.numbers):016x}"
        answer = Answer()
        answer.id = self.last_id = id
        answer.sent_at = self.record.now()
        if not quiet:
            self.record("sent", caller=self.name, id=id, text=text[:80])
        self.writer.write(f"QUERY {id} {text}\r\n".encode("latin-1"))
        try:
            async with asyncio.timeout(self.patience):
                while True:
                    word, _, rest = (await self.line()).partition(" ")
                    if word == "ROW":
                        answer.rows.append(rest)
                    elif word == "COMPLETE":
                        answer.mac = rest
                    elif word == "ERROR":
                        answer.error, _, answer.text = rest.partition(" ")
                    elif word == "READY":
                        answer.state, _, answer.position = rest.partition(" ")
                        break
        except (OSError, TimeoutError, Ended) as error:
            self.record("unanswered", caller=self.name, id=id, error=repr(error)[:80])
            raise Ended(repr(error)) from error
        answer.at = self.record.now()
        if not quiet:
            self.record(
                "answered", caller=self.name, id=id, error=answer.error,
                mac=answer.mac, state=answer.state, position=answer.position,
                text=answer.text[:100], rows=[row[:160] for row in answer.rows],
            )
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()

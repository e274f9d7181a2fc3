"""
Stand-ins for the platform's store and machine service, for executors and for clients, and the
means to run the project's own program as separate processes. Standard library only.

Everything listens on loopback addresses. The stand-ins follow PROTOCOL.md; where it is silent they
behave like a sound server.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # fixed in the program
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
PAGE_OF_ENDS = 500
HOLD_MAX_MS = 10_000
MAX_WAIT_S = 2.0


class CannotRun(Exception):
    """The case couldn't be set up."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.start_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.start_s

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class Drop(Exception):
    """Close the connection without an answer."""


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        return self.server.sockets[0].getsockname()[1]

    def abort(self):
        """End like a crashed process: the port closes and every connection is reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                method, target, _version = first.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                args = dict(urllib.parse.parse_qsl(query))
                status, data = await self.handler(method, path, args, headers, body)
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        except asyncio.LimitOverrunError:
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.transport.abort()


async def http_call(address, method, path, body=b"", headers=None, timeout_s=3.0):
    """Send one request; return (status, body), or (0, reason) if there is no answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            headers = {"Host": address, **(headers or {})}
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            data = await reader.readexactly(length) if length else b""
            return int(head[0].split(" ")[1]), data
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as exc:
        return 0, type(exc).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


class Link:
    """
    A loopback proxy that stands for the network between a daemon and one server.

    While it is cut, bytes in both directions are held up. After the cut they arrive, also when
    their sender has closed its connection meanwhile, as TCP sends them again; they are lost if it
    has reset it. A connection that is opened during the cut is not established before its end.
    """

    def __init__(self, target, on_bytes=None):
        self.target = target
        self.on_bytes = on_bytes
        self.healed = None
        self.server = None
        self.writers = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0, backlog=512)
        return f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def cut(self):
        self.healed = self.healed or asyncio.Event()

    def heal(self):
        if self.healed is not None:
            self.healed.set()
            self.healed = None

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        other = None
        try:
            if self.healed is not None:
                await self.healed.wait()
                if reader.at_eof():
                    return
            ip, _, port = self.target.rpartition(":")
            back, other = await asyncio.open_connection(ip, int(port))
            self.writers.add(other)
            await asyncio.gather(
                self._pump(reader, other, self.on_bytes), self._pump(back, writer, None)
            )
        except OSError:
            pass
        finally:
            for end in (writer, other):
                if end is not None:
                    self.writers.discard(end)
                    end.transport.abort()

    async def _pump(self, reader, writer, on_bytes):
        while True:
            data = await reader.read(65536)
            if data and on_bytes is not None:
                on_bytes(self, data)
            while self.healed is not None:
                await self.healed.wait()
            if reader.exception() is not None:
                raise ConnectionResetError
            if not data:
                with contextlib.suppress(OSError):
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class Partition:
    """One partition of a topic."""

    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.first = 0
        self.records = []  # (data, time)
        self.newest = {}  # key -> (value, offset)
        self.epochs = {}  # producer -> (epoch, last seq or None, {seq: answer})
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, data, now):
        offset = self.end
        self.records.append((data, now))
        if self.is_keyed:
            size = data[0]
            key, value = data[1 : 1 + size].decode(), data[1 + size :]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, keep_s, now):
        """Delete the records that are older than the store keeps them."""
        count = 0
        while count < len(self.records) and now - self.records[count][1] > keep_s:
            count += 1
        del self.records[:count]
        self.first += count


class Store:
    """The platform's store: an append-only log."""

    def __init__(self, keep_s, note):
        self.keep_s = keep_s
        self.note = note
        self.partitions = {}
        self.server = HttpServer(self.handle)
        self.port = 0

    def partition(self, topic):
        found = self.partitions.get(topic)
        if found is None:
            found = self.partitions[topic] = Partition(topic.startswith("keyed."))
        found.expire(self.keep_s, time.monotonic())
        return found

    def put(self, topic, key, value):
        """Write a keyed record as the operator or an executor; ``None`` drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        raw = key.encode()
        self.partition(topic).add(bytes([len(raw)]) + raw + data, time.monotonic())

    async def handle(self, method, path, args, headers, body):
        if path == "/api/log-append":
            return await self.append(args, body)
        if path == "/api/log-read":
            return await self.read(args)
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/api/log-newest":
            return self.read_newest(args)
        if path == "/api/log-trim":
            req = json.loads(body)
            part = self.partition(req["topic"])
            count = max(0, min(len(part.records), req["before"] - part.first))
            del part.records[:count]
            part.first += count
            return 200, {}
        return 404, {}

    async def append(self, args, body):
        topic = args["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        part = self.partition(topic)
        async with part.lock:
            await asyncio.sleep(STORE_ANSWER_S)
            records, at = [], 0
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                records.append(body[at + 4 : at + 4 + length])
                at += 4 + length
            if len(body) > 2_097_152 or any(len(data) > 262_144 for data in records):
                return 400, {}
            if "producer" in args:
                epoch, seq = int(args["epoch"]), int(args["seq_no"])
                known, last, answers = part.epochs.get(args["producer"], (-1, None, {}))
                if epoch < known:
                    return 409, {"reason": "fenced"}
                if epoch > known:
                    last, answers = None, {}
                if seq in answers:
                    return 200, answers[seq]
                if last is not None and seq != last + 1:
                    return 409, {"reason": "seq", "expected": last + 1}
            offset = part.end
            for data in records:
                part.add(data, time.monotonic())
            answer = {"offset": offset, "end": part.end}
            if "producer" in args:
                answers = {**answers, seq: answer}
                for old in sorted(answers)[:-5]:
                    del answers[old]
                part.epochs[args["producer"]] = (epoch, seq, answers)
            return 200, answer

    async def read(self, args):
        part = self.partition(args["topic"])
        start, wait_s = int(args["from"]), int(args.get("wait_ms", 0)) / 1000
        deadline = time.monotonic() + wait_s
        await asyncio.sleep(STORE_ANSWER_S)
        while part.end <= start:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.changed.wait(), left)
        part.expire(self.keep_s, time.monotonic())
        if start < part.first:
            return 410, {"first": part.first}
        data, limit = [], int(args.get("max_kb", 1024)) * 1024
        for record, _time in part.records[start - part.first :]:
            limit -= len(record) + 4
            if data and limit < 0:
                break
            data.append(struct.pack(">I", len(record)) + record)
        return 200, struct.pack(">QQ", part.end, part.first) + b"".join(data)

    def read_newest(self, args):
        part = self.partition(args["topic"])
        after = args.get("depends_on", "")
        keys = sorted(key for key in part.newest if key > after)
        items, size = [], 0
        for key in keys[:500]:
            value, offset = part.newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": len(items) < len(keys), "end": part.end}


class Run:
    """A run of a task on an executor."""

    def __init__(self, task, run, work_s, now):
        self.task, self.run, self.work_s, self.begun = task, run, work_s, now
        self.stop_at = None


class Executor:
    """
    An executor. The spec of a job tells how long its tasks work: a number of seconds, or ``lasts``.
    """

    STOP_S = 0.05
    STARTUP_S = 0.3

    def __init__(self, fleet, name, machine, service, zone, rack, kind, cpu, mem_mb):
        self.fleet, self.id, self.machine = fleet, name, machine
        self.service, self.zone, self.rack, self.kind = service, zone, rack, kind
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.server = HttpServer(self.handle)
        self.ip, self.port = fleet.ip(100), 0
        self.is_up = False
        self.cut = None  # an event that is set when the cut ends
        self.dead_since = None
        self.is_moving = False
        self.seq = 0

    def machine_state(self):
        if self.is_moving:
            return "moving"
        return "up" if self.is_up else "down"

    async def start(self, kind=None):
        """Begin a new incarnation, which knows nothing of the former one."""
        self.kind = kind or self.kind
        self.t0 = time.monotonic()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.running = {}  # (task, run) -> Run
        self.finished = []
        self.number = 0
        self.barred = {}
        self.lease_ms = 0
        self.seq = 0
        self.ended = asyncio.Event()
        self.port = await self.server.start(self.ip, self.port)
        self.is_up, self.dead_since = True, None
        self.heartbeat()

    def crash(self):
        """End at once: everything that runs here ends, and connections are reset."""
        self.advance()
        for run in self.running.values():
            self.fleet.note(f"gone {run.task} run {run.run} with {self.id}")
            self.fleet.gone.append((self.id, run.task))
        self.is_up, self.dead_since = False, time.monotonic()
        self.running = {}
        self.server.abort()

    def lose_power(self):
        """End what runs here, and answer nothing more: open and new connections hang."""
        self.advance()
        for run in self.running.values():
            self.fleet.note(f"gone {run.task} run {run.run} with {self.id}")
            self.fleet.gone.append((self.id, run.task))
        self.is_up, self.dead_since = False, time.monotonic()
        self.running = {}
        self.cut = asyncio.Event()

    async def restart_dark(self):
        """Begin a new life on the same machine after a loss of power, under a new id."""
        cut, self.cut = self.cut, None
        self.server.abort()
        cut.set()
        self.fleet.store.put("keyed.servers", self.id, None)
        self.fleet.replaced += 1
        self.id, self.port = f"i-{0xABC000 + self.fleet.replaced:08x}", 0
        await self.start()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.t0) * 1000)

    def heartbeat(self):
        self.seq += 1
        self.fleet.store.put(
            "keyed.servers",
            self.id,
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.capacity,
                "labels": [self.kind, self.rack],
                "clock_ms": self.clock_ms(),
                "seq_no": self.seq,
                "born": self.born,
                "machine": self.machine,
            },
        )

    def advance(self):
        """Bring what runs here up to the present time."""
        if not self.is_up:
            return
        now = time.monotonic()
        if self.running and self.clock_ms() > self.lease_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            return
        for run in list(self.running.values()):
            if run.work_s is not None and now - run.begun >= run.work_s:
                self.end(run, "done")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")

    def end(self, run, how):
        del self.running[run.task, run.run]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.number += 1
        self.finished.append([self.number, run.task, run.run, how, ""])
        self.fleet.on_end(self, self.number, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def handle(self, method, path, args, headers, body):
        if self.cut is not None:
            # Bytes that a partition holds up are lost when their sender gives up.
            await self.cut.wait()
            raise Drop
        self.advance()
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        req = json.loads(body) if body else {}
        if self.fleet.hold_up(self, path, req):
            await asyncio.sleep(60.0)
            raise Drop
        if path == "/api/run-start":
            return self.run_start(req)
        if path == "/api/run-stop":
            return self.run_stop(req)
        if path == "/api/hold":
            return await self.hold(req)
        if path == "/api/pace":
            return 200, self.answer()
        return 404, {}

    def answer(self, **fields):
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def is_fenced(self, req):
        token = req.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def take_lease(self, req):
        if "deadline_ms" in req:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.lease_ms = max(self.lease_ms, min(req["deadline_ms"], longest))

    def run_start(self, req):
        if self.is_fenced(req):
            return 409, self.answer(reason="fence")
        task, number = req["task"], req["run"]
        if (task, number) in self.running:
            return 200, self.answer()
        if req["deadline_ms"] <= self.clock_ms():
            return 409, self.answer(reason="late")
        self.take_lease(req)
        if number <= self.barred.get(task, 0):
            return 409, self.answer(reason="old")
        run = Run(task, number, self.fleet.work_s(req["spec"]), time.monotonic())
        self.running[task, number] = run
        self.fleet.on_start(self, run)
        return 200, self.answer()

    def run_stop(self, req):
        if self.is_fenced(req):
            return 409, self.answer(reason="fence")
        task, number = req["task"], req["run"]
        run = self.running.get((task, number))
        if run is None:
            self.barred[task] = max(self.barred.get(task, 0), number)
        elif run.stop_at is None:
            run.stop_at = time.monotonic() + self.STOP_S
            self.fleet.note(f"stop {task} run {number} on {self.id}")
        return 200, self.answer()

    async def hold(self, req):
        if self.is_fenced(req):
            return 409, self.answer(reason="fence")
        self.take_lease(req)
        seen = req.get("last_seen", 0)
        noted = [end for end in self.finished if end[0] <= seen]
        self.finished = [end for end in self.finished if end[0] > seen]
        for end in noted:
            self.fleet.on_noted(self, end[0])
        wait_s = min(MAX_WAIT_S, req.get("wait_ms", 0) / 1000)
        if wait_s and not self.finished:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait_s)
            if self.cut is not None:
                await self.cut.wait()
                raise Drop
            if not self.is_up:
                raise Drop
            self.advance()
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            ran_s = now - run.begun
            if run.work_s is None:
                percent = 100 if ran_s >= self.STARTUP_S else 0
            else:
                percent = min(99, int(100 * ran_s / run.work_s))
            rows.append([run.task, run.run, "", percent, 0])
        return 200, self.answer(running=rows, finished=self.finished[:PAGE_OF_ENDS])


class Daemon:
    """A process of the project's own program."""

    def __init__(self, fleet, number, zone):
        self.fleet, self.name, self.zone = fleet, f"edge-{zone}-{number}", zone
        self.ip = fleet.ip(number)
        self.front, self.ready = f"{self.ip}:8340", f"{self.ip}:8343"
        self.store_address, self.machines_address = fleet.store_address, fleet.machines_address
        self.settings = fleet.folder / f"{self.name}.toml"
        self.process = None
        self.started_s = None

    def write_settings(self):
        zones = "".join(f'{zone} = "region"\n' for zone in self.fleet.zones)
        bounds = "".join(f"{name} = {value}\n" for name, value in self.fleet.bounds.items())
        self.settings.write_text(
            f'node_name = "{self.name}"\nrole = "entry"\nmachine_class = "edge"\n'
            f'serves = ["edge"]\nip = "{self.ip}"\nzone = "{self.zone}"\nregion = "region"\n'
            f"internal_ports = [7000, 7015]\nseeds = []\nbootstrap = false\n"
            f'discovery = "platform"\nentry = "vip"\nheartbeat_ms = 1500\norders = "rpc"\n'
            f"[zones]\n{zones}[listen]\n"
            f'front = "{self.front}"\nready = "{self.ready}"\n'
            "[limits]\ncpu_share = 0.537\ncores = 2\nmemory_mb = 300\nmax_fds = 4100\n"
            "link_mbps = 1000.0\ndisk_mb = 0\n"
            f"[bounds]\n{bounds}"
            f'[platform]\naddress = "{self.store_address}"\nform = "log"\n'
            "writes_per_s = 800.0\nreads_per_s = 2000.0\nparts = 12\nappend_ms = 2.0\n"
            "part_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\n"
            f"call_bytes = 2097152\nkeep_s = {self.fleet.store.keep_s}\npart_mb = 200\n"
            "ttl_min_ms = 1000\n"
            f'[cloud_api]\naddress = "{self.machines_address}"\nrate_per_s = 64.0\n'
            "duty_per_s = 64.0\n"
        )

    def start(self):
        self.write_settings()
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["EELGRASSDRUM_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "platform/run.py"], cwd=REPOSITORY, env=env, stdout=log, stderr=log
        )
        log.close()
        self.started_s = self.fleet.note.now()
        self.fleet.note(f"{self.name}: process started")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.fleet.note(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, limit_s=30.0):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            status, _body = await http_call(self.ready, "GET", "/api/readyz", timeout_s=1.0)
            if status == 200:
                self.fleet.note(f"{self.name}: ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")


class Fleet:
    """A small deployment: daemons, executors, the platform and the operator."""

    BOUNDS = {
        "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
        "loss_slack_ms": 200, "config_apply_ms": 2000, "revoke_ms": 5000, "recovery_s": 12,
        "hold_max_ms": 10000, "stop_ms": 400, "gang_ms": 3000, "cancel_ms": 3000,
        "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "migrate_s": 1.5,
        "maintenance_s": 2, "fencing_enforced": "false", "lease_ms": 3000, "restore_ms": 100,
    }  # fmt: skip

    def __init__(self, case_folder, keep_s=300):
        self.case = Path(case_folder)
        self.note = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = dict(self.BOUNDS)
        self.net = self._free_net()
        self.store = Store(keep_s, self.note)
        self.machines = HttpServer(self.handle_machines)
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.daemons, self.executors = [], []
        self.routes, self.services = [], []
        self.starts = []  # (time, executor, born, task, run, labels)
        self.ends = []  # dicts: time, executor, born, number, task, run, how, noted
        self.broken = []
        self.tasks = []
        self.links = []
        self.orders = []  # orders for machines, as they arrived
        self.replaced = 0
        self.gone = []  # worker and task of each run that ended with its worker

    def _free_net(self):
        import socket

        for _try in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            with socket.socket() as probe:
                try:
                    probe.bind((f"{net}.1", METRICS_PORT))
                    return net
                except OSError:
                    continue
        raise CannotRun("no free loopback addresses")

    def ip(self, number):
        return f"{self.net}.{number}"

    @staticmethod
    def work_s(spec):
        first = spec.split()[0]
        return None if first == "lasts" else float(first)

    def hold_up(self, executor, path, req):
        """Say whether a call to an executor gets no answer and isn't carried out now."""
        return False

    # What executors tell.

    def on_start(self, executor, run):
        self.note(f"start {run.task} run {run.run} on {executor.id} ({executor.kind})")
        self.starts.append(
            dict(at=self.note.now(), executor=executor.id, born=executor.born, task=run.task,
                 run=run.run, labels=(executor.kind, executor.rack))
        )  # fmt: skip

    def on_end(self, executor, number, run, how):
        self.note(f"end {run.task} run {run.run} on {executor.id}: {how}")
        self.ends.append(
            dict(at=self.note.now(), executor=executor.id, born=executor.born, number=number,
                 task=run.task, run=run.run, how=how, noted=None)
        )  # fmt: skip

    def on_noted(self, executor, number):
        for end in self.ends:
            if (end["executor"], end["born"], end["number"]) == (
                executor.id, executor.born, number,
            ):  # fmt: skip
                end["noted"] = self.note.now()

    # The machine service.

    async def handle_machines(self, method, path, args, headers, body):
        await asyncio.sleep(0.002)
        if path in ("/api/machine-move", "/api/machine-upkeep"):
            return self.order_machine(path, headers, json.loads(body))
        if path != "/api/machines":
            return 404, {}
        rows = [
            {"machine": e.machine, "pool": e.service, "state": e.machine_state(),
             "zone": e.zone, "labels": [e.kind, e.rack], "capacity": e.capacity,
             "id": e.id if e.is_up else None}
            for e in self.executors
        ]  # fmt: skip
        return 200, {"machines": rows, "next_token": None}

    def order_machine(self, path, headers, req):
        """Carry out an order for a machine; fencing tokens aren't checked."""
        holder, token = headers["x-duty-holder"], int(headers["x-fencing-token"])
        executor = next((e for e in self.executors if e.machine == req["machine"]), None)
        status, reason = 200, ""
        if executor is None:
            status, reason = 400, "unknown"
        elif path == "/api/machine-move" and executor.service == req["pool"]:
            pass  # it is done already
        elif not executor.is_up:
            status, reason = 409, "busy"
        else:
            pool = req.get("pool", executor.service)
            self.tasks.append(asyncio.create_task(self.replace(executor, pool)))
        self.note(f"order {path} {req} by {holder} with token {token}: {status} {reason}")
        self.orders.append(
            dict(at=self.note.now(), machine=req["machine"], holder=holder, token=token,
                 status=status, pool=req.get("pool"))
        )  # fmt: skip
        return status, {"reason": reason} if reason else {}

    async def replace(self, executor, pool):
        """End what runs on a machine, and let a new executor join the pool."""
        executor.crash()
        executor.dead_since = None
        self.store.put("keyed.servers", executor.id, None)
        executor.is_moving = True
        await asyncio.sleep(self.bounds["migrate_s"])
        executor.is_moving = False
        self.replaced += 1
        executor.id, executor.service = f"i-{0xABC000 + self.replaced:08x}", pool
        await executor.start()

    # Set-up and end.

    async def start_platform(self):
        ip = self.ip(99)
        self.store.port = await self.store.server.start(ip)
        port = await self.machines.start(ip)
        self.store_address = f"{ip}:{self.store.port}"
        self.machines_address = f"{ip}:{port}"
        self.tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self):
        due = {}
        while True:
            now = time.monotonic()
            for executor in self.executors:
                executor.advance()
                if executor.dead_since is not None:
                    # The entry is removed after three heartbeat intervals of silence.
                    if now - executor.dead_since > 3 * HEARTBEAT_S:
                        self.store.put("keyed.servers", executor.id, None)
                        executor.dead_since = None
                elif executor.is_up and now >= due.get(executor.id, 0.0):
                    due[executor.id] = now + HEARTBEAT_S
                    executor.heartbeat()
            await asyncio.sleep(0.01)

    def publish_config(self, version=1):
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": version,
                "routes": self.routes,
                "services": self.services,
                "tenants": [
                    {"name": "team", "api_keys": ["key-1"], "weight": 1.0,
                     "upper_limit": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
                ],
                "limits": {"max_body_bytes": 262144},
            },
        )  # fmt: skip

    def add_route(self, service, name="queue", max_attempts=3):
        self.routes.append(
            {"name": name, "host": "pule25.example", "prefix": f"/{name}/",
             "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
             "priority": 0, "service": service, "max_attempts": max_attempts,
             "slack_factor": 1.6, "public": False}
        )  # fmt: skip
        if all(known["name"] != service for known in self.services):
            self.services.append({"name": service, "rejects_overload": False})

    def add_executor(self, service, zone, rack, kind="a", cpu=32_000, mem_mb=131_072):
        number = len(self.executors)
        executor = Executor(
            self, f"i-{number:08x}", f"m-{number:05x}", service, zone, rack, kind, cpu, mem_mb
        )
        self.executors.append(executor)
        return executor

    async def start(self, daemons=3):
        await self.start_platform()
        self.publish_config()
        for executor in self.executors:
            await executor.start()
        for number in range(1, daemons + 1):
            daemon = Daemon(self, number, self.zones[(number - 1) % len(self.zones)])
            self.daemons.append(daemon)
            await self.before_start(daemon)
            daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def before_start(self, daemon):
        """Prepare a daemon, such as by putting links between it and the platform."""

    async def call(self, daemon, method, job, body=None, queue="queue"):
        """Send a client's request; return its status and the decoded body."""
        data = json.dumps(body).encode() if body is not None else b""
        headers = {
            "Host": "pule25.example", "Authorization": "Token key-1",
            "X-Deadline-Ms": "3000", "Content-Type": "application/json",
        }  # fmt: skip
        path = f"/{queue}/{job}"
        status, answer = await http_call(daemon.front, method, path, data, headers, 3.2)
        with contextlib.suppress(ValueError):
            answer = json.loads(answer)
        self.note(f"client {method} {path} at {daemon.name}: {status} {str(answer)[:80]}")
        return status, answer

    async def submit(self, job, phases, spec, queue="queue", tries=10):
        """Hand a job in, at any daemon, until it is accepted."""
        for attempt in range(tries):
            daemon = self.daemons[attempt % len(self.daemons)]
            status, _answer = await self.call(
                daemon, "POST", job, {"spec": spec, "phases": phases}, queue
            )
            if 200 <= status < 300:
                return daemon
            await asyncio.sleep(0.3)
        raise CannotRun(f"job {job} was not accepted")

    def report_break(self, rule, text):
        self.note(f"BROKEN {rule}: {text}")
        self.broken.append((rule, text))

    def close(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            daemon.kill()
        for executor in self.executors:
            executor.server.abort()
        for link in self.links:
            link.close()
        self.store.server.abort()
        self.machines.abort()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_job_id():
    return f"{random.getrandbits(64):016x}"


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_folder, play, limit_s=115, **options):
    """Run a case and exit with 0 (rule held), 1 (rule broken) or 2 (could not run)."""

    async def run():
        fleet = Fleet(case_folder, **options)
        current = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        try:
            async with asyncio.timeout(limit_s):
                await play(fleet)
            for name in fleet.daemons:
                if name.process.poll() is not None:
                    fleet.note(f"{name.name}: the process has ended: {name.process.returncode}")
            code = 1 if fleet.broken else 0
        except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as exc:
            fleet.note(f"could not run: {type(exc).__name__} {exc}")
            code = 2
        finally:
            fleet.close()
        fleet.note(f"broken: {len(fleet.broken)}; exit {code}")
        return code

    sys.exit(asyncio.run(run()))

"""A small deployment on loopback: real controller processes, with stand-ins for the state service, the cloud, the
workers, the users and the network between them.

Everything runs in one asyncio loop. The stand-ins follow PROTOCOL-crowstall.md; where that page is silent they behave
like a sound server or client. `Rig.cut` names the pairs of hosts that can't reach one another at the moment.
"""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD = object()  # returned by a handler: the request is never answered, and its connection is reset
LOOPBACK = "127.0.0.1"


def free_port():
    """A port below the range that the system assigns to outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
                return port
            except OSError:
                continue


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


async def read_message(reader):
    """Reads the head and the body of an HTTP message. Returns the first line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(port, handler):
    """Serves HTTP/1.1 on a loopback port. `handler(method, path, body)` returns a status and an object, or HELD."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is HELD:
                    reset(writer)
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                close = headers.get("connection", "").lower() == "close"
                extra = "Connection: close\r\n" if close else ""
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n{extra}\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, LOOPBACK, port, backlog=512)


async def call(port, method, path, value=None, timeout=5.0):
    """Sends one HTTP request on a connection of its own. Returns the status, the headers and the parsed body, or None
    if there was no answer in time or the connection failed."""

    async def exchange():
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        try:
            data = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {LOOPBACK}:{port}\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + data)
            try:
                await writer.drain()
            except ConnectionError:
                pass  # the server may have answered before it read everything
            line, headers, body = await read_message(reader)
            try:
                parsed = json.loads(body) if body else None
            except ValueError:
                parsed = None
            return int(line.split(" ")[1]), headers, parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class Bucket:
    """A rate limit with bursts of `seconds` seconds' worth."""

    def __init__(self, rate, seconds):
        self.rate, self.most = rate, rate * seconds
        self.level, self.at = self.most, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.level = min(self.most, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class StateService:
    """The key-value store."""

    def __init__(self, rig):
        self.rig = rig
        facts = rig.facts["state"]
        self.requests, self.writes = Bucket(facts["rps"], 1.0), Bucket(facts["write_rps"], 1.0)
        self.value_bytes, self.txn_ops = facts["value_kb"] * 1024, facts["txn_ops"]
        self.keys, self.leases, self.log = {}, {}, []
        self.tally, self.last_lease = 0, 0

    async def handle(self, node, method, path, body):
        await self.rig.pass_link(node, "state")
        if self.rig.is_cut(node, "state"):
            return HELD
        await asyncio.sleep(self.rig.state_latency())
        self.expire()
        if not self.requests.take(1):
            return 429, {}
        path, _, query = path.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if method == "GET" and path == "/keys":
            return self.list(fields)
        if method == "GET" and path.startswith("/keys/"):
            return self.get(path[len("/keys/") :])
        if method == "POST" and path == "/commit":
            return self.commit(node, body)
        if method == "POST" and path == "/holds":
            return self.grant(json.loads(body)["life_ms"])
        if path.startswith("/holds/"):
            return self.touch(int(path.split("/")[2]))
        if method == "GET" and path == "/watch":
            return await self.watch(fields)
        return 400, {}

    def expire(self):
        now = time.monotonic()
        for lease, (_, ends) in list(self.leases.items()):
            if now >= ends:
                del self.leases[lease]
                gone = [key for key, entry in self.keys.items() if entry[2] == lease]
                if gone:
                    self.tally += 1
                    for key in gone:
                        self.remove(key)

    def remove(self, key):
        if self.keys.pop(key, None) is not None:
            self.log.append((self.tally, {"delete": key, "molt": self.tally}))

    def get(self, key):
        entry = self.keys.get(key)
        if entry is None:
            return 404, {"tally": self.tally}
        return 200, self.entry(key, entry)

    def entry(self, key, entry):
        shown = {"k": key, "data": entry[0], "molt": entry[1]}
        if entry[2] is not None:
            shown["tenure"] = entry[2]
        return shown

    def list(self, fields):
        page, size, entries = min(int(fields.get("page", 1000)), 1000), 0, []
        keys = sorted(key for key in self.keys if key.startswith(fields["prefix"]) and key > fields.get("after", ""))
        truncated = False
        for key in keys:
            entry = self.entry(key, self.keys[key])
            size += len(json.dumps(entry))
            if len(entries) == page or size > 512 * 1024:
                truncated = True
                break
            entries.append(entry)
        return 200, {"entries": entries, "truncated": truncated, "tally": self.tally}

    def commit(self, node, body):
        if len(body) > 64 * 1024:
            return 400, {"error": "too large"}
        request = json.loads(body)
        conditions, changes = request.get("if", []), request.get("apply", [])
        if len(changes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        if any("set" in change and len(json.dumps(change["data"])) > self.value_bytes * 1.2 for change in changes):
            return 400, {"error": "value too large"}
        if not self.writes.take(len(changes)):
            return 429, {}
        if any(change.get("tenure") is not None and change["tenure"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        failed = [one["k"] for one in conditions if self.keys.get(one["k"], (None, 0))[1] != one["molt"]]
        if failed:
            return 409, {"failed": failed, "tally": self.tally}
        if changes:
            self.tally += 1
        for change in changes:
            if "set" in change:
                self.keys[change["set"]] = (change["data"], self.tally, change.get("tenure"))
                self.log.append((self.tally, {"set": change["set"], "data": change["data"], "molt": self.tally}))
                if change["set"].startswith(("end/", "shard/0")):
                    self.rig.note(f"state: {node} wrote {change['set']} at revision {self.tally}")
            else:
                self.remove(change["delete"])
        del self.log[:-10_000]
        return 200, {"tally": self.tally}

    def grant(self, life_ms):
        self.last_lease += 1
        self.leases[self.last_lease] = (life_ms, time.monotonic() + life_ms / 1000)
        return 200, {"tenure": self.last_lease}

    def touch(self, lease):
        if lease not in self.leases:
            return 404, {}
        life_ms = self.leases[lease][0]
        self.leases[lease] = (life_ms, time.monotonic() + life_ms / 1000)
        return 200, {"tenure": lease}

    async def watch(self, fields):
        after, prefix = int(fields["after"]), fields["prefix"]
        until = time.monotonic() + int(fields.get("wait_ms", 0)) / 1000
        while True:
            self.expire()
            if self.log and len(self.log) >= 10_000 and after < self.log[0][0] - 1:
                return 410, {}
            changes = [c for at, c in self.log if at > after and (c.get("set") or c.get("delete")).startswith(prefix)]
            if changes or time.monotonic() >= until:
                return 200, {"tally": self.tally, "log": changes}
            await asyncio.sleep(0.02)


class Cloud:
    """The cloud. Its machines are those that are up at the start; it has no others to give."""

    def __init__(self, rig):
        self.rig = rig
        self.bucket = Bucket(rig.facts["cloud"]["rps"], 2.0)

    async def handle(self, node, method, path, body):
        if self.rig.is_cut(node, "cloud"):
            await self.rig.pass_link(node, "cloud")
            return HELD
        await asyncio.sleep(0.02)
        if not self.bucket.take(1):
            return 429, {}
        if path == "/catalog":
            return 200, {"breeds": self.rig.breeds}
        if method == "POST" and path == "/rentals":
            return 503, {"error": "no capacity"}
        if method == "POST" and path == "/rentals/delete":
            for name in json.loads(body)["perches"]:
                worker = self.rig.workers.get(name)
                if worker is not None:
                    worker.delete()
            return 200, {}
        if method == "GET" and path.startswith("/rentals"):
            fields = dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if "=" in part)
            up = sorted(name for name, worker in self.rig.workers.items() if not worker.deleted)
            up = [self.rig.workers[name] for name in up if name > fields.get("after", "")]
            page = int(fields.get("page", 500))
            return 200, {"perches": [worker.listed() for worker in up[:page]], "truncated": len(up) > page}
        return 400, {}


class Task:
    def __init__(self, egg, hatch, job):
        self.egg, self.hatch, self.job = egg, hatch, job
        self.mood, self.cause, self.saved, self.since = "pulling", None, False, time.monotonic()

    def shown(self):
        shown = {"egg": self.egg, "hatch": self.hatch, "mood": self.mood}
        if self.mood == "ended":
            shown["cause"] = self.cause
            if self.saved:
                shown["saved"] = True
        return shown


class Worker:
    """One machine and its worker."""

    def __init__(self, rig, name, breed, zone):
        self.rig, self.name, self.breed, self.zone = rig, name, breed, zone
        kind = next(kind for kind in rig.breeds if kind["label"] == breed)
        self.cores, self.ram, self.pull = kind["cores"], kind["ram_gb"], kind["pull_gb_per_s"]
        self.port, self.node = free_port(), 0
        self.sitting, self.caw, self.crest = 1, 0, 0
        self.tasks, self.images, self.fetches = {}, set(), {}
        self.began = self.answered_at = time.monotonic()
        self.changed, self.deleted, self.largest_report = True, False, 0
        self.refused_reports = {}

    def listed(self):
        return {
            "id": self.name, "endpoint": f"{LOOPBACK}:{self.port}", "breed": self.breed, "roost": self.zone,
            "scavenged": False, "mood": "running", "held_s": round(time.monotonic() - self.began + 600, 1),
        }  # fmt: skip

    def delete(self):
        if not self.deleted:
            self.rig.note(f"cloud: {self.name} deleted with {len(self.on_machine())} tasks on it")
            self.deleted = True
            self.tasks = {}

    def on_machine(self):
        return [task for task in self.tasks.values() if task.mood in ("running", "saving")]

    def report(self):
        self.caw += 1
        return {
            "perch": self.name, "endpoint": f"{LOOPBACK}:{self.port}", "breed": self.breed, "roost": self.zone,
            "scavenged": False, "sitting": self.sitting, "caw": self.caw, "crest": self.crest, "shoo_s": None,
            "clutch": [task.shown() for task in self.tasks.values()],
        }  # fmt: skip

    def execute(self, commands):
        for command in commands:
            key = (command["egg"], command["hatch"])
            if command["call"] == "run":
                self.run(*key)
            elif command["call"] == "stop" and key in self.tasks:
                self.stop(self.tasks[key], command.get("settle_s", 0))
            elif command["call"] == "forget" and key in self.tasks and self.tasks[key].mood == "ended":
                del self.tasks[key]
                self.changed = True

    def run(self, egg, hatch):
        if (egg, hatch) in self.tasks:
            return
        name, _, index = egg.partition("/")
        job = self.rig.jobs.get(name)
        task = Task(egg, hatch, job)
        live = [other for other in self.tasks.values() if other.mood != "ended"]
        self.changed = True
        if job is None or int(index) >= job["clutch"]:
            task.mood, task.cause = "ended", "no_such"
        elif any(other.egg == egg for other in live):
            task.mood, task.cause = "ended", "busy"
        elif (
            sum(other.job["cores"] for other in live) + job["cores"] > self.cores + 1e-6
            or sum(other.job["ram_gb"] for other in live) + job["ram_gb"] > self.ram + 1e-6
        ):
            task.mood, task.cause = "ended", "no_room"
        self.tasks[(egg, hatch)] = task
        if self.rig.verbose:
            self.rig.note(f"{self.name}: got run {egg} (attempt {hatch}) under token {self.crest}")

    def stop(self, task, settle_s):
        self.changed = True
        if task.mood == "running" and task.job["cache_s"] > 0 and settle_s >= task.job["stash_s"] > 0:
            task.mood, task.since = "saving", time.monotonic()
        elif task.mood != "ended":
            self.end(task, "halted")

    def end(self, task, cause, saved=False):
        if task.mood in ("running", "saving"):
            self.rig.task_ended(self, task, cause)
        task.mood, task.cause, task.saved, self.changed = "ended", cause, saved, True

    def step(self):
        """Advances the tasks and ends the session if the lease has expired."""
        now = time.monotonic()
        if now - self.answered_at > self.rig.facts["workers"]["lease_s"]:
            lost = self.on_machine()
            for task in lost:
                self.rig.task_ended(self, task, "lease expired")
            if self.tasks:
                self.rig.note(f"{self.name}: lease expired in session {self.sitting}; {len(lost)} running tasks killed")
            self.tasks, self.fetches = {}, {}
            self.sitting += 1
            self.answered_at, self.changed = now, True
        for task in list(self.tasks.values()):
            if task.mood == "pulling":
                image = task.job["plumage"]
                ready = self.fetches.setdefault(image, now + task.job["image_gb"] / self.pull)
                if image in self.images or now >= ready:
                    self.images.add(image)
                    task.mood, task.since, self.changed = "running", now, True
                    self.rig.task_started(self, task)
            elif task.mood == "running" and task.job["gait"] == "sweep":
                if now - task.since >= self.rig.run_s(task.job):
                    self.end(task, "done")
            elif task.mood == "saving" and now - task.since >= task.job["stash_s"]:
                self.end(task, "halted", saved=True)

    async def steps(self):
        while not self.deleted:
            self.step()
            await asyncio.sleep(0.05)

    async def reports(self):
        nodes = len(self.rig.controllers)
        interval, last = self.rig.facts["workers"]["report_s"], 0.0
        due = time.monotonic() + random.uniform(0, interval)
        while not self.deleted:
            now = time.monotonic()
            if not (now >= due or self.changed and now - last >= 0.5):
                await asyncio.sleep(0.02)
                continue
            self.changed, last = False, now
            due = now + interval * random.uniform(0.75, 1.25)
            due = await self.send_report(now, nodes) or due

    async def send_report(self, sent, nodes):
        """Sends one report. Returns the time of the next one if the worker has to go to another node."""
        node, sitting, report = f"ctl{self.node}", self.sitting, self.report()
        size = len(json.dumps(report, separators=(",", ":")))
        self.largest_report = max(self.largest_report, size)
        if self.rig.is_cut(self.name, node):
            await asyncio.sleep(4.0)
            answer = None
        else:
            answer = await call(self.rig.controllers[self.node].front, "POST", "/hello", report, 4.0)
            if self.rig.is_cut(self.name, node):
                answer = None
        if self.deleted:
            return None
        if answer is not None and answer[0] == 200 and answer[2] is not None:
            body = answer[2]
            if sitting == self.sitting and body.get("crest") is not None and body["crest"] >= self.crest:
                if body["crest"] > self.crest:
                    self.crest, self.changed = body["crest"], True
                self.answered_at = sent
                self.execute(body.get("calls", []))
            return None
        if answer is not None and answer[0] not in (421, 503):
            self.refused_reports[answer[0]] = self.refused_reports.get(answer[0], 0) + 1
            self.rig.note(f"{self.name}: report of {size} bytes with {len(report['clutch'])} tasks: status {answer[0]}")
        if answer is not None and answer[0] == 421 and (answer[2] or {}).get("rookery"):
            named = self.rig.index_of(answer[2]["rookery"])
            if named is not None and named != self.node:
                self.node = named
                return time.monotonic() + random.uniform(0, 0.5)
        self.node = (self.node + 1) % nodes
        self.changed = False
        await asyncio.sleep(1.0)
        return time.monotonic()

    async def handle(self, method, path, body):
        """Direct commands and questions."""
        if self.deleted:
            return HELD
        if method == "GET" and path == "/status":
            return 200, self.report()
        request = json.loads(body) if body else {}
        if "crest" not in request or "sitting" not in request:
            return 400, {}
        if self.rig.drops_commands(self, request["crest"]):
            await asyncio.sleep(30.0)
            return HELD
        if request["crest"] < self.crest or request["sitting"] != self.sitting:
            return 409, self.report()
        if request["crest"] > self.crest:
            self.crest, self.changed = request["crest"], True
        self.execute(request.get("calls", []))
        return 200, self.report()


class ControllerProcess:
    """A controller, started as the deploy file says."""

    def __init__(self, rig, index, zone):
        self.rig, self.index, self.zone, self.label = rig, index, zone, f"perch-{index}"
        self.front, self.peer = free_port(), free_port()
        self.state_port, self.cloud_port = free_port(), free_port()
        self.process, self.log = None, os.path.join(rig.folder, f"perch-{index}.log")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            run = next(line.split("=", 1)[1].strip().strip('"') for line in file if line.startswith("run ="))
        log = open(self.log, "a")
        self.process = subprocess.Popen(
            shlex.split(run) + [os.path.join(self.rig.folder, f"perch-{self.index}.toml")],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=log,
            env={**os.environ, "LOG_LEVEL": os.environ.get("RIG_LOG", "info")},
        )  # fmt: skip
        log.close()
        self.rig.note(f"controller {self.label} started")

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_kb(self, field="VmRSS"):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return next(int(line.split()[1]) for line in file if line.startswith(field + ":"))
        except (OSError, StopIteration):
            return 0


class Rig:
    """The deployment. A case overrides `is_cut`, `state_latency` and the like."""

    def __init__(self, record, facts, breeds, zones, size=3, verbose=False):
        self.began, self.record, self.facts, self.breeds, self.zones = time.monotonic(), open(record, "w"), facts, breeds, zones
        self.folder, self.verbose = tempfile.mkdtemp(prefix="crowstall-review-"), verbose
        self.jobs, self.runs, self.workers, self.events = {}, {}, {}, []
        self.cut = lambda a, b: False
        self.drops_commands = lambda worker, crest: False
        self.state_latency = lambda: 0.004
        self.controllers = [ControllerProcess(self, index, zones[index % len(zones)]) for index in range(size)]
        self.servers, self.loops, self.proxies = [], [], {}
        self.state, self.cloud = StateService(self), Cloud(self)

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def is_cut(self, a, b):
        return self.cut(a, b) or self.cut(b, a)

    async def pass_link(self, a, b):
        """Waits while a link is cut, for at most 30 s."""
        was_cut, until = False, time.monotonic() + 30
        while self.is_cut(a, b) and time.monotonic() < until:
            was_cut = True
            await asyncio.sleep(0.05)
        if was_cut:
            raise ConnectionResetError

    def index_of(self, label):
        return next((node.index for node in self.controllers if node.label == label), None)

    def run_s(self, job):
        return self.runs[job["id"]]

    def task_started(self, worker, task):
        self.events.append(("start", self.now(), worker, task))
        if self.verbose:
            self.note(f"{worker.name}: {task.egg} (attempt {task.hatch}) starts")

    def task_ended(self, worker, task, cause):
        self.events.append(("end", self.now(), worker, task, cause))
        if self.verbose:
            self.note(f"{worker.name}: {task.egg} (attempt {task.hatch}) ends: {cause}")

    def add_worker(self, name, breed, zone):
        self.workers[name] = Worker(self, name, breed, zone)
        return self.workers[name]

    def settings(self, node):
        text = [
            f'label = "{node.label}"', f'area = "{node.zone}"', f'front = "{LOOPBACK}:{node.front}"',
            f'peer_bind = "{LOOPBACK}:{node.peer}"',
        ]  # fmt: skip
        for other in self.controllers:
            if other is not node:
                proxy = self.proxies[(node.index, other.index)]
                text += ["[[peers]]", f'label = "{other.label}"', f'area = "{other.zone}"', f'peer_addr = "{LOOPBACK}:{proxy}"']
        text += ["[services]", f'cloud = "{LOOPBACK}:{node.cloud_port}"', f'state = "{LOOPBACK}:{node.state_port}"']
        text += ["[facts]", f"size = {len(self.controllers)}", f"zones = {json.dumps(self.zones)}", "time_bound_ms = 100.0"]
        for team in self.facts["teams"]:
            text += ["[[facts.teams]]"] + [f"{key} = {json.dumps(value)}" for key, value in team.items()]
        for table in ("workers", "state", "cloud", "machine_limits"):
            text += [f"[facts.{table}]"] + [f"{key} = {json.dumps(value)}" for key, value in self.facts[table].items()]
        return "\n".join(text) + "\n"

    async def proxy(self, a, b):
        """A link between two controllers: forwards bytes unless it is cut, and resets its connections after a cut."""
        port = self.proxies[(a, b)]
        target = self.controllers[b].peer

        async def connection(reader, writer):
            ends = [writer]
            try:
                await self.pass_link(f"ctl{a}", f"ctl{b}")
                upstream, downstream = await asyncio.open_connection(LOOPBACK, target)
                ends.append(downstream)

                async def pump(source, sink):
                    while data := await source.read(65536):
                        await self.pass_link(f"ctl{a}", f"ctl{b}")
                        sink.write(data)
                        await sink.drain()

                both = [asyncio.ensure_future(pump(reader, downstream)), asyncio.ensure_future(pump(upstream, writer))]
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
                for one in both:
                    one.cancel()
                await asyncio.gather(*both, return_exceptions=True)
            except (ConnectionError, OSError):
                pass
            finally:
                for end in ends:
                    reset(end)

        return await asyncio.start_server(connection, LOOPBACK, port, backlog=64)

    async def start(self):
        pairs = [(a.index, b.index) for a in self.controllers for b in self.controllers if a is not b]
        self.proxies = {pair: free_port() for pair in pairs}
        for pair in pairs:
            self.servers.append(await self.proxy(*pair))
        for node in self.controllers:
            name = f"ctl{node.index}"
            self.servers.append(await serve(node.state_port, self.guarded(self.state.handle, name)))
            self.servers.append(await serve(node.cloud_port, self.guarded(self.cloud.handle, name)))
        for worker in self.workers.values():
            self.servers.append(await serve(worker.port, worker.handle))
        for node in self.controllers:
            with open(os.path.join(self.folder, f"{node.label}.toml"), "w") as file:
                file.write(self.settings(node))
            node.start()
        for worker in self.workers.values():
            self.loops += [asyncio.ensure_future(worker.steps()), asyncio.ensure_future(worker.reports())]

    def guarded(self, handle, name):
        async def handler(method, path, body):
            try:
                return await handle(name, method, path, body)
            except ConnectionResetError:
                return HELD

        return handler

    async def stop(self):
        for loop in self.loops:
            loop.cancel()
        for node in self.controllers:
            node.kill()
        for server in self.servers:
            server.close()
        self.record.close()
        if os.environ.get("RIG_KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ready(self, limit_s=20.0):
        """Waits until every controller answers its health check with 200."""
        until = time.monotonic() + limit_s
        for node in self.controllers:
            while True:
                answer = await call(node.front, "GET", "/up", None, 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    def leader(self):
        """Label of the controller that leads shard 0 according to the state service."""
        entry = self.state.keys.get("shard/0")
        return None if entry is None else entry[0].get("node") or entry[0]

    def job(self, name, clutch, cores, ram_gb, run_s, **other):
        self.runs[name] = run_s
        return {
            "id": name, "brood": "species-match", "flock": self.facts["teams"][0]["name"], "gait": "sweep",
            "pecking": "normal", "clutch": clutch, "cores": cores, "gpus": 0.0, "ram_gb": ram_gb, "breeds": None,
            "roost": None, "together": False, "spread": False, "scavenged": False, "plumage": "img-01",
            "image_gb": 0.1, "flight_s": run_s, "cache_s": 0.0, "stash_s": 0.0, "dusk_s": None, **other,
        }  # fmt: skip

    async def ask(self, node, method, path, value, timeout):
        """One request of a user to one controller."""
        name = f"ctl{node.index}"
        if self.is_cut("user", name):
            await asyncio.sleep(0.5)
            return None
        answer = await call(node.front, method, path, value, timeout)
        shown = None if answer is None else (answer[0], answer[2])
        self.note(f"user: {method} {path} at {node.label}: {shown}")
        return answer

    async def insist(self, nodes, method, path, value=None, limit_s=60.0):
        """Repeats a submission or a cancellation as the page says. Returns the final answer, or None."""
        until, turn = time.monotonic() + limit_s, 0
        while time.monotonic() < until:
            answer = await self.ask(nodes[turn % len(nodes)], method, path, value, 5.0)
            turn += 1
            if answer is not None and answer[0] in (200, 201, 400, 404, 422):
                return answer
            wait = 1.0
            if answer is not None and "retry-after" in answer[1]:
                wait = min(30.0, max(1.0, float(answer[1]["retry-after"])))
            await asyncio.sleep(wait)
        return None

    async def submit(self, nodes, job):
        self.jobs[job["id"]] = job
        return await self.insist(nodes, "POST", "/v1/jobs", job)

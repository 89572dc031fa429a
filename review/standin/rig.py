"""A small deployment on loopback: controllers as processes, started as the deploy file says, with stand-ins round
them. The settings are those of the smaller site of BRIEF (three controllers, `tsagaan-four` machines)."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

import http_io
from cloud_workers import Cloud
from state_service import StateService

ROOT = Path(__file__).resolve().parents[2]
CONTROLLERS = 3
AREAS = ["tuul-east", "tuul-west", "tuul-east"]
SETTINGS = """label = "{label}"
area = "{area}"
front = "127.0.0.1:{front}"
peer_bind = "127.0.0.1:{peer}"
{peers}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[facts]
size = 3
zones = ["tuul-east", "tuul-west"]
time_bound_ms = 25.0

[[facts.teams]]
name = "textcheck-desk-00"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0

[[facts.teams]]
name = "textcheck-desk-01"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0

[facts.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 30.0

[facts.state]
rps = 250.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 8

[facts.cloud]
rps = 5.0
list_lag_s = 8.0

[facts.machine_limits]
core_share = 0.096
memory_mb = 72.0
max_sockets = 1500
"""


def free_port(taken=set()):
    """Returns a free port below those that the system gives to outgoing connections, so that it stays free while a
    controller restarts."""
    while True:
        port = random.randrange(12_000, 32_000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


class Link:
    """The network from one controller to another. While it is held, what is sent over it is kept, also if the sender
    is gone; afterwards it is delivered in the order in which it was sent."""

    def __init__(self, target):
        self.target, self.held, self.queue, self.kept = target, False, [], 0
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def hold(self):
        self.held = True

    async def release(self):
        """Delivers what was kept: first all that was sent first."""
        while self.queue:
            deliver = self.queue.pop(0)
            await deliver()
        self.held = False

    async def connection(self, reader, writer):
        state = {"out": None}

        async def deliver(data):
            try:
                if state["out"] is None:
                    _, state["out"] = await asyncio.open_connection("127.0.0.1", self.target)
                if data:
                    state["out"].write(data)
                    await state["out"].drain()
                else:
                    state["out"].close()
                    writer.close()
            except (ConnectionError, OSError):
                writer.close()

        while True:
            try:
                data = await reader.read(64 * 1024)
            except (ConnectionError, OSError):
                data = b""
            except asyncio.CancelledError:
                return
            if self.held or self.queue:
                self.kept += len(data)
                self.queue.append(lambda data=data: deliver(data))
            else:
                await deliver(data)
            if not data:
                break


class Node:
    """One controller: its addresses, its settings file and its process."""

    def __init__(self, index):
        self.index, self.label = index, f"perch-{index}"
        self.front, self.peer = free_port(), free_port()
        self.process = None


class Rig:
    """The deployment. `jobs` holds what users submitted, by id; `accepted` when which answer was given first."""

    def __init__(self, folder, with_links=False, settings=SETTINGS, areas=AREAS):
        self.settings, self.areas = settings, areas
        self.record = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.report_s, self.lease_s = 2.0, 10.0
        self.nodes = [Node(index) for index in range(CONTROLLERS)]
        self.jobs, self.done_tasks, self.on = {}, {}, {}
        self.links, self.with_links = {}, with_links
        self.tmp = Path(tempfile.mkdtemp(prefix="crowstall-review-"))
        self.violations = []

    def note(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.note(f"RULE BROKEN {rule}: {text}")

    # Tasks, as the workers see them.

    def task_on(self, machine, egg, hatch):
        where = self.on.setdefault(egg, {})
        if any(other != machine for other, _ in where):
            self.broken("ran_twice", f"{egg} starts on {machine} while it is on {sorted(where)}")
        where[(machine, hatch)] = time.monotonic()
        self.note(f"worker {machine}: {egg} runs (attempt {hatch})")

    def task_left(self, machine, egg, hatch, why):
        self.on.get(egg, {}).pop((machine, hatch), None)
        self.note(f"worker {machine}: {egg} ended: {why}")

    def task_done(self, egg):
        job, number = egg.rsplit("/", 1)
        self.done_tasks.setdefault(job, set()).add(int(number))

    def is_done(self, job):
        return len(self.done_tasks.get(job, ())) >= self.jobs[job]["clutch"]

    # Controllers.

    def index(self, label, current):
        found = [node.index for node in self.nodes if node.label == label]
        return found[0] if found and found[0] != current else None

    def front_for_worker(self, node):
        return self.nodes[node].front

    async def start(self, state=(250.0, 20.0, 4.0, 8), **cloud):
        """Starts the stand-ins and the controllers. `state`: the limits of the state service, as in the settings;
        `cloud`: the arguments of the cloud."""
        self.state = StateService(*state)
        self.cloud = Cloud(self, **cloud)
        for sender in self.nodes:
            for receiver in self.nodes:
                if sender is not receiver and self.with_links:
                    link = self.links[(sender.index, receiver.index)] = Link(receiver.peer)
                    await link.start()
        run = next(line for line in (ROOT / "deploy/service.toml").read_text().splitlines() if line.startswith("run = "))
        self.command = run.split('"')[1].split()
        for node in self.nodes:
            node.state, node.cloud = await self.state.start(node.index), await self.cloud.start(node.index)
            peers = "".join(
                f'\n[[peers]]\nlabel = "{other.label}"\narea = "{self.areas[other.index]}"\n'
                f'peer_addr = "127.0.0.1:{self.peer_port(node, other)}"\n'
                for other in self.nodes if other is not node)
            text = self.settings.format(label=node.label, area=self.areas[node.index], front=node.front, peer=node.peer,
                                   peers=peers, cloud=node.cloud, state=node.state)
            node.settings = self.tmp / f"{node.label}.toml"
            node.settings.write_text(text)
        for node in self.nodes:
            self.run(node)

    def peer_port(self, sender, receiver):
        return self.links[(sender.index, receiver.index)].port if self.with_links else receiver.peer

    def run(self, node):
        log = open(self.tmp / f"{node.label}.log", "a")
        node.process = subprocess.Popen(self.command + [str(node.settings)], cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=subprocess.DEVNULL, stderr=log)
        log.close()
        self.note(f"{node.label}: process started")

    def kill(self, node):
        node.process.kill()
        node.process.wait()
        self.note(f"{node.label}: process killed")

    def signal(self, node, number):
        node.process.send_signal(number)
        self.note(f"{node.label}: {signal.Signals(number).name}")

    def check_processes(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() not in (None, -signal.SIGKILL):
                self.broken("crash", f"{node.label} ended by itself with {node.process.returncode}")

    async def until_up(self, nodes, limit=30.0):
        """Waits until the health checks of the controllers are answered with 200."""
        ends = time.monotonic() + limit
        for node in nodes:
            while True:
                answer = await http_io.Client(node.front).request("GET", "/up", timeout=1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > ends:
                    raise CannotRun(f"{node.label} did not get ready within {limit} s")
                await asyncio.sleep(0.05)

    def leader(self):
        label = self.state.leader()
        return next((node for node in self.nodes if node.label == label), None)

    # Users.

    def job(self, number, tasks=1, run_s=5.0, gait="sweep", **fields):
        """Returns the body of a submission, and uploads the job's description for the workers."""
        body = {"id": f"wk-{number:06d}", "brood": "similarity-sweep" if gait == "sweep" else "intake-portal",
                "flock": "textcheck-desk-00", "gait": gait, "pecking": "normal", "clutch": tasks, "cores": 1.0,
                "gpus": 0.0, "ram_gb": 1.0, "plumage": "img-01", "image_gb": 0.2, "breeds": None, "roost": None,
                "together": False, "spread": False, "scavenged": False, "flight_s": run_s if gait == "sweep" and isinstance(run_s, float) else 20.0 * (gait == "sweep"),
                "cache_s": 0.0, "stash_s": 0.0, "dusk_s": None, **fields}
        self.jobs[body["id"]] = {"clutch": tasks, "run_s": run_s, "gait": gait}
        return body

    async def ask(self, node, method, path, body=None, timeout=2.0, client=None):
        """Sends a user's request to a controller and records it with its answer."""
        sent = time.monotonic() - self.started
        client = client or http_io.Client(node.front)
        answer = await client.request(method, path, body, timeout)
        client.close()
        self.note(f"user -> {node.label} at {sent:.3f}: {method} {path} -> {answer}")
        return answer

    async def submit(self, body, nodes=None, limit=60.0, pauses=()):
        """Submits a job as a user does, with repeats at the next node, each 1 s after the answer or after the next of
        `pauses`. Returns the answer that accepted or refused it, or None."""
        ends, tried = time.monotonic() + limit, 0
        nodes = nodes or self.nodes
        while time.monotonic() < ends:
            answer = await self.ask(nodes[tried % len(nodes)], "POST", "/v1/jobs", body, timeout=5.0)
            if answer is not None and answer[0] in (200, 201, 400, 422):
                return answer
            await asyncio.sleep(pauses[tried] if tried < len(pauses) else 1.0)
            tried += 1
        return None

    def close(self):
        """Ends all processes and removes the temporary folder. The controllers' logs go to the end of the record."""
        self.check_processes()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for node in self.nodes:
            log = self.tmp / f"{node.label}.log"
            if log.exists():
                self.record.write(f"--- log of {node.label} ---\n{log.read_text(errors='replace')}")
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def main(folder, case, with_links=False, limit=115.0, settings=SETTINGS, areas=AREAS):
    """Runs a case. `case(rig, trouble)` plays it. Exits with 1 if a rule was broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        rig = Rig(folder, with_links, settings, areas)
        try:
            await asyncio.wait_for(case(rig, trouble), limit)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            rig.say(f"could not run: {error!r}")
            return 2
        finally:
            rig.close()
        for rule in sorted({rule for rule, _ in rig.violations}):
            texts = [text for other, text in rig.violations if other == rule]
            print(f"{rule}: {len(texts)} times, first: {texts[0]}")
        return 1 if rig.violations else 0

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        status = asyncio.run(play())
    except Exception:  # A fault of the script is no broken rule.
        traceback.print_exc()
        status = 2
    print(f"exit {status}")
    sys.exit(status)

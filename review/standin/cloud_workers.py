"""Stand-ins for the cloud and for the workers on its machines, as PROTOCOL describes them."""

import asyncio
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

import http_io

BREED = {"label": "tsagaan-four", "cores": 4.0, "gpus": 0.0, "ram_gb": 8.0, "cache_gb": 40.0, "pull_gb_per_s": 2.0,
         "hourly": 0.25, "spot_price": 0.08, "startup_s": 25.0, "roosts": ["tuul-east", "tuul-west"]}


class Cloud:
    """Rents machines. `boot_s` is the time from a rental until the worker reports."""

    def __init__(self, rig, boot_s=2.0, lag_s=8.0, limit=32):
        self.rig, self.boot_s, self.lag_s, self.limit = rig, boot_s, lag_s, limit
        self.machines, self.bids, self.last = {}, {}, 0
        # A test may set it: hook(node), a coroutine that returns when the request of that controller arrives.
        self.hook = None

    async def start(self, node):
        """Starts to serve one controller. Returns the port."""

        async def handler(method, path, raw):
            if self.hook is not None:
                await self.hook(node)
            return await self.handle(method, path, raw)

        return (await http_io.serve(handler))[0]

    async def handle(self, method, path, raw):
        url = urlsplit(path)
        if (method, url.path) == ("GET", "/catalog"):
            return 200, {"breeds": [BREED]}
        if (method, url.path) == ("GET", "/rentals"):
            query = parse_qs(url.query)
            after, page = query.get("after", [""])[0], min(int(query.get("page", ["500"])[0]), 500)
            seen = time.monotonic() - self.lag_s
            names = [name for name, m in sorted(self.machines.items())
                     if name > after and m["rented"] <= seen and (m["gone"] is None or m["gone"] > seen)]
            perches = [{"id": name, "endpoint": self.machines[name]["worker"].endpoint, "breed": BREED["label"],
                        "roost": self.machines[name]["roost"], "scavenged": self.machines[name]["scavenged"],
                        "mood": "running" if self.machines[name]["rented"] + self.boot_s <= seen else "starting",
                        "held_s": seen - self.machines[name]["rented"]} for name in names[:page]]
            return 200, {"perches": perches, "truncated": len(names) > page}
        if (method, url.path) == ("POST", "/rentals"):
            body = json.loads(raw)
            if body["bid"] not in self.bids:
                running = sum(m["gone"] is None for m in self.machines.values())
                number = min(body["number"], 50, self.limit - running)
                if number <= 0:
                    return 503, {"error": "no capacity"}
                self.bids[body["bid"]] = [await self.rent(body["roost"], body["scavenged"]) for _ in range(number)]
            return 200, {"perches": self.bids[body["bid"]]}
        if (method, url.path) == ("POST", "/rentals/delete"):
            for name in json.loads(raw)["perches"]:
                machine = self.machines.get(name)
                if machine is not None and machine["gone"] is None:
                    machine["gone"] = time.monotonic()
                    machine["worker"].take_away()
                    self.rig.note(f"cloud: {name} is gone")
            return 200, {}
        return 400, {}

    async def rent(self, roost, scavenged):
        self.last += 1
        name = f"i-{self.last:06d}"
        worker = Worker(self.rig, name, roost, scavenged)
        await worker.start(self.boot_s)
        self.machines[name] = {"rented": time.monotonic(), "gone": None, "roost": roost, "scavenged": scavenged,
                               "worker": worker}
        self.rig.note(f"cloud: rented {name} in {roost}")
        return name


class Worker:
    """One machine's worker: reports to one controller at a time, executes its commands, keeps its lease."""

    def __init__(self, rig, name, roost, scavenged):
        self.rig, self.name, self.roost, self.scavenged = rig, name, roost, scavenged
        self.sitting, self.caw, self.crest, self.tasks = 1, 0, 0, {}
        self.node, self.client, self.up = random.randrange(len(rig.nodes)), None, True
        self.wake, self.token_counted = asyncio.Event(), -1e9

    async def start(self, boot_s):
        port, self.server = await http_io.serve(self.handle)
        self.endpoint = f"127.0.0.1:{port}"
        self.loops = [asyncio.create_task(self.run(boot_s)), asyncio.create_task(self.watch_lease(boot_s))]

    def take_away(self):
        self.up = False
        self.kill_tasks("the machine is gone")
        self.server.close()
        for loop in self.loops:
            loop.cancel()

    def report(self):
        self.caw += 1
        clutch = [{"egg": egg, "hatch": hatch, "mood": task["mood"], **({"cause": task["cause"]} if task["cause"] else {})}
                  for (egg, hatch), task in self.tasks.items()]
        return {"perch": self.name, "endpoint": self.endpoint, "breed": BREED["label"], "roost": self.roost,
                "scavenged": self.scavenged, "sitting": self.sitting, "caw": self.caw, "crest": self.crest,
                "shoo_s": None, "clutch": clutch}

    def kill_tasks(self, why):
        for (egg, hatch), task in self.tasks.items():
            if task["timer"] is not None:
                task["timer"].cancel()
            if task["mood"] != "ended":
                self.rig.task_left(self.name, egg, hatch, why)
        self.tasks = {}

    async def handle(self, method, path, raw):
        if (method, path) == ("GET", "/status"):
            return 200, self.report()
        body = json.loads(raw or b"{}")
        if "crest" not in body or "sitting" not in body:
            return 400, {}
        if body["crest"] < self.crest or body["sitting"] != self.sitting:
            return 409, self.report()
        self.see_token(body["crest"])
        self.execute(body.get("calls") or [])
        return 200, self.report()

    def see_token(self, crest):
        """Keeps the highest token. It counts as a change at most once per half of the lease."""
        if crest > self.crest:
            self.crest = crest
            if time.monotonic() - self.token_counted >= self.rig.lease_s / 2:
                self.token_counted = time.monotonic()
                self.wake.set()

    def execute(self, calls):
        for call in calls:
            key = (call["egg"], call["hatch"])
            if call["call"] == "run" and key not in self.tasks:
                self.start_task(key)
            elif call["call"] == "stop" and key in self.tasks and self.tasks[key]["mood"] != "ended":
                self.end_task(key, "halted")
            elif call["call"] == "forget" and key in self.tasks and self.tasks[key]["mood"] == "ended":
                del self.tasks[key]
        if calls:
            self.wake.set()

    def start_task(self, key):
        egg = key[0]
        job = self.rig.jobs.get(egg.rsplit("/", 1)[0])
        task = {"mood": "pulling", "cause": None, "timer": None}
        self.tasks[key] = task
        if job is None:
            task.update(mood="ended", cause="no_such")
        elif any(other[0] == egg and t["mood"] != "ended" for other, t in self.tasks.items() if other != key):
            task.update(mood="ended", cause="busy")
        else:
            task["timer"] = asyncio.create_task(self.run_task(key, job))

    async def run_task(self, key, job):
        await asyncio.sleep(0.3)
        self.tasks[key]["mood"] = "running"
        self.rig.task_on(self.name, *key)
        self.wake.set()
        if job["gait"] == "sweep":
            # A number of seconds, or an event that the test sets when the task is over.
            await (job["run_s"].wait() if isinstance(job["run_s"], asyncio.Event) else asyncio.sleep(job["run_s"]))
            self.tasks[key]["timer"] = None
            self.end_task(key, "done")
            self.rig.task_done(key[0])

    def end_task(self, key, cause):
        task = self.tasks[key]
        if task["timer"] is not None:
            task["timer"].cancel()
        if task["mood"] == "running":
            self.rig.task_left(self.name, *key, cause)
        task.update(mood="ended", cause=cause, timer=None)
        self.wake.set()

    async def watch_lease(self, boot_s):
        """Ends the session when the last answered report was sent more than `lease_s` ago, also while a report waits
        for its answer."""
        await asyncio.sleep(boot_s)
        self.lease_from = time.monotonic()
        while self.up:
            await asyncio.sleep(0.02)
            if time.monotonic() - self.lease_from > self.rig.lease_s:
                self.kill_tasks("the worker's lease ended")
                self.sitting, self.lease_from = self.sitting + 1, time.monotonic()
                self.wake.set()

    async def run(self, boot_s):
        await asyncio.sleep(boot_s)
        report_s = self.rig.report_s
        while self.up:
            sent, sitting = time.monotonic(), self.sitting
            answer = await self.send(self.report())
            pause, regular = random.uniform(0.75, 1.25) * report_s, True
            if answer is not None and answer[0] == 200:
                crest = (answer[1] or {}).get("crest")
                if crest is not None and crest >= self.crest and sitting == self.sitting:
                    self.lease_from = sent
                    self.see_token(crest)
                    self.execute(answer[1].get("calls") or [])
            elif answer is not None and answer[0] == 421 and self.rig.index((answer[1] or {}).get("rookery"), self.node) is not None:
                self.move(self.rig.index(answer[1]["rookery"], self.node))
                pause, regular = random.uniform(0.0, 0.5), False
            else:
                self.move((self.node + 1) % len(self.rig.nodes))
                pause, regular = 1.0, False
            if regular:
                await self.rest(sent, pause)
            else:
                await asyncio.sleep(pause)

    async def rest(self, sent, pause):
        """Waits for the next report: `pause` seconds, or until something changes, which is reported at most once every
        half second."""
        until = time.monotonic() + pause
        await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
        try:
            await asyncio.wait_for(self.wake.wait(), max(0.0, until - time.monotonic()))
        except asyncio.TimeoutError:
            pass
        self.wake.clear()

    def move(self, node):
        if self.client is not None:
            self.client.close()
        self.client, self.node = None, node

    async def send(self, report):
        if self.client is None:
            self.client = http_io.Client(self.rig.front_for_worker(self.node))
        return await self.client.request("POST", "/hello", report, timeout=4.0)

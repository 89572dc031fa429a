"""Case 3: after the leader has ended, no question about a job that waits for many others is answered any more.

The names of the jobs that it waits for are in records of their own. The new leader has to list the ends of jobs before it
can tell the state of such a job, and lists them only while it reads little else."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import rig as deployment  # noqa: E402

# The settings of the second deployment with pipelines (kit/change/cusco-avecenso-next.toml).
SETTINGS = deployment.SETTINGS
for old, new in [("rps = 250.0\nwrite_rps = 20.0\nvalue_kb = 4.0\ntxn_ops = 8\n",
                  "rps = 80.0\nwrite_rps = 30.0\nvalue_kb = 16.0\ntxn_ops = 16\n\n"
                  "[facts.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 5\n"),
                 ("[facts.cloud]\nrps = 5.0\nlist_lag_s = 8.0", "[facts.cloud]\nrps = 8.0\nlist_lag_s = 10.0"),
                 ("report_s = 2.0", "report_s = 0.8"), ("core_share = 0.096\nmemory_mb = 72.0\nmax_sockets = 1500",
                                                        "core_share = 0.2\nmemory_mb = 40.0\nmax_sockets = 700"),
                 ("cpus = 16.0\ncpus_max = 48.0", "cpus = 0.0\ncpus_max = 0.0")]:
    assert old in SETTINGS
    SETTINGS = SETTINGS.replace(old, new)

# Jobs that the last job waits for, and its id.
FIRST, STEPS, LAST = 101, 172, "wk-000900"
# Questions a second about jobs that nobody submitted, spread over the controllers in turn.
UNKNOWN_RATE = 36.0
# Limit of the rule `forgotten`.
LIMIT_S = 90.0


class Users:
    """Users who ask about jobs, and what they were answered."""

    def __init__(self, rig, names):
        self.rig, self.names = rig, names
        self.asked = {"unknown": [0, 0], "others": [0, 0], "last": [0, 0]}
        self.failing_since, self.longest, self.turn, self.open = None, 0.0, 0, set()

    def next_node(self):
        """Returns the next controller that runs."""
        while True:
            self.turn += 1
            node = self.rig.nodes[self.turn % len(self.rig.nodes)]
            if node.process.poll() is None:
                return node

    async def ask(self, kind, job):
        sent = time.monotonic()
        answer = await self.rig.ask(self.next_node(), "GET", f"/v1/jobs/{job}")
        answered = answer is not None and answer[0] in (200, 404)
        self.asked[kind][0] += 1
        self.asked[kind][1] += answered
        if kind != "unknown" and answered and answer[0] == 404:
            self.rig.broken("forgotten", f"the accepted job {job} got the answer 404")
        if kind == "last":
            if answered:
                self.failing_since = None
            elif self.failing_since is None:
                self.failing_since = sent
            else:
                self.longest = max(self.longest, time.monotonic() - self.failing_since)

    def begin(self, kind, job):
        task = asyncio.create_task(self.ask(kind, job))
        self.open.add(task)
        task.add_done_callback(self.open.discard)

    async def run(self, kind, interval, jobs):
        number, due = 0, time.monotonic()
        while True:
            self.begin(kind, jobs(number))
            number += 1
            due += interval
            await asyncio.sleep(max(0.0, due - time.monotonic()))


async def case(rig, trouble):
    rig.report_s = 0.8
    await rig.start(limit=6, lag_s=10.0, state=(80.0, 30.0, 16.0, 16))
    await rig.until_up(rig.nodes)
    leader = rig.leader()
    if leader is None:
        raise deployment.CannotRun("no controller leads shard 0")
    names = [f"wk-{number:06d}" for number in range(FIRST, FIRST + STEPS)]
    first = asyncio.Event()

    async def submit(body):
        answer = await rig.submit(body, [leader])
        if answer is None or answer[0] not in (200, 201):
            raise deployment.CannotRun(f"{body['id']} was not accepted: {answer}")

    bodies = [rig.job(int(name[3:]), run_s=first if name == names[0] else 1000.0) for name in names]
    for index in range(0, STEPS, 15):
        await asyncio.gather(*(submit(body) for body in bodies[index:index + 15]))
    await submit(rig.job(900, run_s=5.0, awaits=names))
    first.set()
    for _ in range(100):
        answer = await rig.ask(leader, "GET", f"/v1/jobs/{names[0]}")
        if answer is not None and answer[0] == 200 and answer[1]["mood"] == "done":
            break
        await asyncio.sleep(0.2)
    else:
        raise deployment.CannotRun(f"{names[0]} did not end")
    users = Users(rig, names)
    asking = [asyncio.create_task(users.run("unknown", 1.0 / UNKNOWN_RATE, lambda n: f"wk-{800_000 + n:06d}")),
              asyncio.create_task(users.run("others", 0.2, lambda n: names[1 + n % (STEPS - 1)])),
              asyncio.create_task(users.run("last", 1.0, lambda n: LAST))]
    await asyncio.sleep(1.5)
    rig.say(f"{LAST} waits for {STEPS - 1} jobs; {names[0]} is done; {leader.label} leads")
    if trouble:
        rig.kill(leader)
    await asyncio.sleep(6.0)
    if trouble:
        rig.run(leader)
    while time.monotonic() - rig.started < 111.0 and users.longest <= LIMIT_S:
        await asyncio.sleep(0.5)
    for task in asking:
        task.cancel()
    await asyncio.gather(*asking, *users.open, return_exceptions=True)
    rig.say("asked and answered: " + ", ".join(f"{kind} {n} {k}" for kind, (n, k) in users.asked.items()))
    rig.say(f"the longest time in which every question about {LAST} failed: {users.longest:.1f} s")
    others, answered = (sum(users.asked[kind][i] for kind in ("unknown", "others")) for i in (0, 1))
    if users.longest > LIMIT_S and answered > others / 2:
        rig.broken("forgotten", f"every poll for the accepted job {LAST} failed for {users.longest:.1f} s, "
                                f"while {answered} of {others} others were answered")


if __name__ == "__main__":
    deployment.main(FOLDER, case, settings=SETTINGS, limit=117.0)

"""Case 3: a new leader lengthens the life of a cancelled task by an answer that doesn't stop it.

A zone with the leader and its machines is cut off. Another controller leads and jobs are cancelled. When the zone is
reached again for a moment, the new leader's first answer to a worker renews its lease, and the stop would follow in the
second answer only."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import cloud_workers  # noqa: E402
import rig as deployment  # noqa: E402

AREAS = ["tuul-west", "tuul-east", "tuul-east"]
MACHINES = 24
# The first cut, the time in which the zone is reached again, and the second cut, in seconds.
CUT_S, PEACE_S, CUT_AGAIN_S = 28.5, 0.4, 14.0
CANCEL_S, ALLOWED_S = 30.0, 0.3


class Zone:
    """The zone of one controller and all machines. While it is cut off, what passes its border is held back; it is
    delivered once the cut ends, unless its connection was not open yet and has been given up."""

    def __init__(self, rig, inside):
        self.rig, self.inside, self.token, self.cut = rig, inside, 1 << 62, False

    async def open(self, limit=1e9):
        """Waits until the zone is reached. Returns `False` if that takes more than `limit` seconds."""
        ends = time.monotonic() + limit
        while self.cut:
            if time.monotonic() >= ends:
                return False
            await asyncio.sleep(0.01)
        return True

    def begin(self):
        self.cut = True
        for (sender, receiver), link in self.rig.links.items():
            if self.inside.index in (sender, receiver):
                link.hold()
        self.rig.say(f"the zone of {self.inside.label} is cut off")

    async def end(self):
        self.cut = False
        self.rig.say(f"the zone of {self.inside.label} is reached again")
        for (sender, receiver), link in self.rig.links.items():
            if self.inside.index in (sender, receiver):
                await link.release()

    def state_hook(self, node, method, path, raw):
        if node != self.inside.index or not self.cut:
            return None

        async def held():
            await self.open()
            return await self.rig.state.handle(method, path, raw)

        return held()

    async def cloud_hook(self, node):
        if node == self.inside.index:
            await self.open()

    def attach(self):
        """Puts the border between the workers and the controllers outside, and between these and the workers."""
        zone, send, handle = self, cloud_workers.Worker.send, cloud_workers.Worker.handle

        async def send_over(worker, report):
            began = time.monotonic()
            if worker.node == zone.inside.index:
                return await send(worker, report)
            if not await zone.open(4.0):
                return None
            answer = await asyncio.wait_for(send(worker, report), 4.1)
            if not await zone.open(4.0 - (time.monotonic() - began)):
                return None
            return answer

        async def handle_over(worker, method, path, raw):
            # Calls of the controller inside carry the token that it has had since before the cut.
            body = json.loads(raw or b"{}")
            if body.get("crest", 0) > zone.token and not await zone.open(2.0):
                return None
            answer = await handle(worker, method, path, raw)
            if body.get("crest", 0) > zone.token:
                await zone.open(2.0)
            return answer

        cloud_workers.Worker.send, cloud_workers.Worker.handle = send_over, handle_over


async def cancel(rig, job, nodes, told):
    """A user cancels a job, and repeats that until it is confirmed."""
    while job not in told:
        for node in nodes:
            answer = await rig.ask(node, "POST", f"/v1/jobs/{job}/cancel", {}, timeout=5.0)
            if answer is not None and answer[0] == 200 and answer[1]["mood"] == "withdrawn":
                told[job] = time.monotonic()
                return
        await asyncio.sleep(1.0)


async def case(rig, trouble):
    zone = Zone(rig, rig.nodes[0])
    zone.attach()
    await rig.start(limit=MACHINES + 2)
    rig.state.hook, rig.cloud.hook = zone.state_hook, zone.cloud_hook
    await rig.until_up(rig.nodes)
    leader = rig.leader()
    if leader is not rig.nodes[0]:
        raise deployment.CannotRun("another controller leads")
    outside = rig.nodes[1:]
    bodies = [rig.job(number, gait="daemon", cores=4.0, roost=AREAS[0]) for number in range(1, MACHINES + 1)]
    for index in range(0, MACHINES, 12):
        await asyncio.gather(*(rig.submit(body, [leader]) for body in bodies[index:index + 12]))
    for _ in range(250):
        if sum(bool(where) for where in rig.on.values()) == MACHINES:
            break
        await asyncio.sleep(0.1)
    else:
        raise deployment.CannotRun("the tasks did not start")
    await asyncio.sleep(4.0)
    zone.token = rig.state.keys["shard/0"][1]
    told = {}
    began = time.monotonic()
    if trouble:
        zone.begin()
        await asyncio.sleep(1.0)
    users = [asyncio.create_task(cancel(rig, body["id"], outside, told)) for body in bodies]

    async def check():
        reported = set()
        while True:
            await asyncio.sleep(0.05)
            for egg, where in rig.on.items():
                job = egg.rsplit("/", 1)[0]
                late = time.monotonic() - told.get(job, 1e18) - CANCEL_S
                if where and late > ALLOWED_S and egg not in reported:
                    reported.add(egg)
                    rig.broken("ran_cancelled", f"{egg} is on {sorted(where)} {CANCEL_S + late:.1f} s after its user "
                                                "was told that the job is cancelled")

    checking = asyncio.create_task(check())
    if trouble:
        await asyncio.sleep(began + CUT_S - time.monotonic())
        await zone.end()
        await asyncio.sleep(PEACE_S)
        zone.begin()
        await asyncio.sleep(CUT_AGAIN_S)
        await zone.end()
    else:
        await asyncio.sleep(35.0)
    await asyncio.sleep(2.0)
    checking.cancel()
    for user in users:
        user.cancel()
    first = min(told.values(), default=0.0) - began
    rig.say(f"{len(told)} cancellations were confirmed, the first {first:.1f} s after the beginning of the trouble")
    if len(told) < MACHINES:
        raise deployment.CannotRun("not all cancellations were confirmed")


if __name__ == "__main__":
    deployment.main(FOLDER, case, with_links=True, settings=deployment.SETTINGS.replace("cpus_max = 48.0", "cpus_max = 480.0"),
                    areas=AREAS)

"""Case 1: answers to the forwarded requests of a former process of a controller reach the users of the new one.

Users ask one controller about their jobs all the time. The network from it to the leader is interrupted; meanwhile its
process ends and is started again. When the interruption ends, the leader answers what the former process had asked."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standin"))
import rig as deployment  # noqa: E402

# Polls a second, at one controller, and the share of them that asks about jobs that nobody submitted.
RATE, UNKNOWN_EVERY = 60.0, 3
BEFORE_S, HELD_S, AWAY_S, AFTER_S = 3.0, 6.0, 6.0, 4.0
# Jobs that are submitted within the last part of a second before the interruption ends.
NEW_JOBS, NEW_JOBS_S = 40, 0.4


class Pollers:
    """Users who ask one controller about their jobs, one request a connection."""

    def __init__(self, rig, node, accepted):
        self.rig, self.node, self.accepted = rig, node, accepted
        self.count, self.open = 0, set()
        self.statuses = {}

    async def for_seconds(self, seconds):
        loop = asyncio.get_running_loop()
        ends = loop.time() + seconds
        while loop.time() < ends:
            task = asyncio.create_task(self.poll(self.count))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
            self.count += 1
            await asyncio.sleep(1.0 / RATE)

    async def finish(self):
        if self.open:
            await asyncio.wait(set(self.open))

    async def poll(self, number):
        rig = self.rig
        known = number % UNKNOWN_EVERY != 0
        job = self.accepted[number % len(self.accepted)] if known else f"wk-{900_000 + number:06d}"
        answer = await rig.ask(self.node, "GET", f"/v1/jobs/{job}")
        if answer is None:
            return
        status, body = answer
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if known and status == 404:
            rig.broken("forgotten", f"the accepted job {job} got the answer 404 {body}")
        if not known and status == 200:
            rig.broken("invented", f"{job}, which nobody submitted, got the answer 200 {body}")
        if known and status == 200 and body.get("mood") == "done" and not rig.is_done(job):
            rig.broken("not_done", f"{job} is called done before its tasks are: {body}")
        if status == 200 and body.get("id") != job:
            rig.note(f"foreign data: the question about {job} got {body}")


async def submit_and_ask(rig, asked, body):
    """A user submits a job, repeats the submission until it is accepted, and asks about the job at all controllers."""
    answer = await rig.submit(body, [asked], limit=20.0)
    if answer is None or answer[0] not in (200, 201):
        return rig.note(f"{body['id']} was not accepted: {answer}")
    rig.note(f"the user of {body['id']} was told {answer[0]}: it is accepted")
    for _ in range(4):
        await asyncio.sleep(3.0)
        for node in rig.nodes:
            answer = await rig.ask(node, "GET", f"/v1/jobs/{body['id']}")
            if answer is not None and answer[0] == 404:
                rig.broken("forgotten", f"the accepted job {body['id']} got the answer 404 from {node.label}")


async def case(rig, trouble):
    await rig.start()
    await rig.until_up(rig.nodes)
    leader = rig.leader()
    if leader is None:
        raise deployment.CannotRun("no controller leads shard 0")
    asked = rig.nodes[(leader.index + 1) % len(rig.nodes)]
    link = rig.links[(asked.index, leader.index)]
    rig.say(f"{leader.label} leads, the users ask {asked.label}")

    services = [rig.job(number, gait="daemon") for number in range(1, 5)]
    arrays = [rig.job(number, run_s=2.0) for number in range(11, 15)]
    for body in services + arrays:
        answer = await rig.submit(body, [leader])
        if answer is None or answer[0] not in (200, 201):
            raise deployment.CannotRun(f"{body['id']} was not accepted: {answer}")
    for _ in range(300):
        if all(rig.is_done(body["id"]) for body in arrays) and len(rig.on) >= len(services):
            break
        await asyncio.sleep(0.1)
    else:
        raise deployment.CannotRun("the tasks did not run")
    await asyncio.sleep(3.0)

    users = Pollers(rig, asked, [body["id"] for body in services + arrays])
    await users.for_seconds(BEFORE_S)
    if trouble:
        rig.say(f"the network from {asked.label} to {leader.label} is interrupted: packets are held back")
        link.hold()
    await users.for_seconds(HELD_S)
    if trouble:
        rig.kill(asked)
    await users.finish()
    await asyncio.sleep(AWAY_S)
    if trouble:
        rig.run(asked)
        await rig.until_up([asked])
    await users.for_seconds(AFTER_S - NEW_JOBS_S)
    polling = asyncio.create_task(users.for_seconds(NEW_JOBS_S + 3.0))
    submitting = []
    for number in range(101, 101 + NEW_JOBS):
        body = rig.job(number, run_s=5.0)
        submitting.append(asyncio.create_task(submit_and_ask(rig, asked, body)))
        await asyncio.sleep(NEW_JOBS_S / NEW_JOBS)
    if trouble:
        rig.say(f"the interruption ends: {link.kept} bytes are delivered in order")
        await link.release()
    await polling
    await users.finish()
    await asyncio.gather(*submitting)
    if rig.leader() is not leader:
        rig.note(f"{rig.leader().label if rig.leader() else 'nobody'} leads now")
    rig.say(f"answers by status: {users.statuses}")


if __name__ == "__main__":
    deployment.main(FOLDER, case, with_links=True)

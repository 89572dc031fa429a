"""A user submits a pipeline of 360 small jobs with one deadline at its end."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

from deployment import TROUBLE, ZONES, CannotRun, play, start  # noqa: E402
from rig import call  # noqa: E402

JOBS = 360
# Each job names the 40 jobs before it; without the trouble, only the one before it.
NAMED = 40 if TROUBLE else 1
# Owners' estimates of the run times: from a second to ten hours, drawn evenly on a logarithmic scale.
SHORTEST_S, LONGEST_S, SEED = 1.0, 36_000.0, 1
WATCHED_S = 86.0
# kit/more/hunt/LATER.md: a job about which no question is answered for 75 s counts as forgotten, however others fare.
FORGOTTEN_S = 75.0
# A worker lease: a controller that is silent for as long loses every machine that reports to it.
HANG_S = 10.0


async def watch(rig, node, silences):
    """Asks a controller for its health every half second and notes the times without any answer."""
    answered_at = time.monotonic()
    while True:
        answer = await call(node.front, "GET", "/up", None, 1.0)
        now = time.monotonic()
        if answer is not None:
            if now - answered_at > 3.0:
                rig.note(f"{node.label} answers again after {now - answered_at:.1f} s")
            answered_at = now
        silences[node.label] = max(silences[node.label], now - answered_at)
        await asyncio.sleep(0.5)


async def case(rig):
    for number, zone in enumerate(ZONES, 1):
        rig.add_worker(f"i-{number:06d}", "colibri-eight", zone)
    await start(rig)
    await asyncio.sleep(2)
    silences = {node.label: 0.0 for node in rig.controllers}
    for node in rig.controllers:
        rig.loops.append(asyncio.ensure_future(watch(rig, node, silences)))

    service = rig.job("wk-000900", 1, 2.0, 8.1, 0.0, gait="daemon", pecking="high", brood="checklist-upload")
    if await rig.submit(rig.controllers, service) is None:
        raise CannotRun("the service was not accepted")
    for _ in range(100):
        await asyncio.sleep(0.1)
        if any(event[0] == "start" for event in rig.events):
            break
    else:
        raise CannotRun("the service does not run")

    ids = [f"wk-{number:06d}" for number in range(1, JOBS + 1)]
    last = None
    draw = random.Random(SEED)
    for number, name in enumerate(ids):
        estimate_s = round(SHORTEST_S * (LONGEST_S / SHORTEST_S) ** draw.random(), 1)
        awaits = ids[max(0, number - NAMED) : number]
        job = rig.job(name, 1, 1.0, 1.0, 600.0, flight_s=estimate_s, awaits=awaits)
        if number == JOBS - 1:
            job["dusk_s"] = 10_000_000.0
            last = asyncio.ensure_future(rig.submit(rig.controllers, job))
        elif await rig.submit(rig.controllers, job) is None:
            raise CannotRun(f"{name} was not accepted")
    begin = rig.now()
    rig.note("the last job of the pipeline was sent")
    told_at, longest_s = rig.now(), 0.0
    while rig.now() < begin + WATCHED_S:
        await asyncio.sleep(1.0)
        questions = [rig.ask(node, "GET", "/v1/jobs/wk-000900", None, 2.0) for node in rig.controllers]
        if any(answer is not None and answer[0] == 200 for answer in await asyncio.gather(*questions)):
            told_at = rig.now()
        longest_s = max(longest_s, rig.now() - told_at)
    violations = []
    if longest_s >= FORGOTTEN_S:
        violations.append(f"no question about the accepted job wk-000900 was answered at any node for {longest_s:.1f} s")
    if not last.done() or last.result() is None:
        violations.append("the submission of the last job got no answer of the page for 60 s")
    last.cancel()
    for label, silence in silences.items():
        if silence >= HANG_S:
            violations.append(f"{label} answered nothing for {silence:.1f} s, though nothing was done to it")
    for event in rig.events:
        if event[0] == "end" and event[4] == "lease expired":
            violations.append(
                f"{event[3].egg} was killed on {event[2].name} at {event[1]:.1f} s: no controller answered the reports "
                "of its machine for the whole lease"
            )
    for node in rig.controllers:
        if node.process.poll() is not None:
            violations.append(f"{node.label} ended with status {node.process.returncode}")
    return violations


play(FOLDER, case, verbose=False)

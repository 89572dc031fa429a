"""Six arrays of 100,000 tasks, the largest that the page allows, are submitted to a small deployment."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

from deployment import TROUBLE, ZONES, CannotRun, play, start  # noqa: E402

ARRAYS = 6
TASKS = 100_000 if TROUBLE else 500
RESTART_DELAY_S = 5.0
WATCHED_S = 70.0


async def platform(rig, ends):
    """Ends each process that holds more memory than its limit, and starts it again, as DEPLOY says."""
    limit_kb = rig.facts["machine_limits"]["memory_mb"] * 1024
    back_at = {}
    while True:
        for node in rig.controllers:
            if node in back_at:
                if rig.now() >= back_at[node]:
                    del back_at[node]
                    node.start()
            elif node.process.poll() is not None:
                ends.append(f"{node.label} ended by itself with status {node.process.returncode}")
                rig.note(ends[-1])
                back_at[node] = rig.now() + RESTART_DELAY_S
            elif (held := node.memory_kb("VmHWM")) > limit_kb:
                node.kill()
                ends.append(f"{node.label} held {held / 1024:.0f} MB of {limit_kb / 1024:.0f} MB and was killed")
                rig.note(ends[-1])
                back_at[node] = rig.now() + RESTART_DELAY_S
        await asyncio.sleep(0.02)


async def case(rig):
    for number, zone in enumerate(ZONES, 1):
        rig.add_worker(f"i-{number:06d}", "condor-sixtyfour", zone)
        rig.add_worker(f"i-{number + 3:06d}", "colibri-eight", zone)
    ends = []
    await start(rig)
    rig.loops.append(asyncio.ensure_future(platform(rig, ends)))
    await asyncio.sleep(2)
    rig.note("memory in use: " + ", ".join(f"{node.label} {node.memory_kb() / 1024:.1f} MB" for node in rig.controllers))
    if ends:
        raise CannotRun("a controller ended before anything was submitted")

    service = rig.job("wk-000100", 1, 2.0, 8.1, 0.0, gait="daemon", pecking="high", brood="checklist-upload")
    if await rig.submit(rig.controllers, service) is None:
        raise CannotRun("the service was not accepted")
    for number in range(ARRAYS):
        array = rig.job(f"wk-{number + 1:06d}", TASKS, 64.0, 300.0, 20.0, dusk_s=60.0)
        if await rig.submit(rig.controllers, array) is None:
            rig.note(f"user gave up: {array['id']} was not accepted within 60 s")
        if ends:
            break
    begin = rig.now()
    late = rig.job("wk-000101", 1, 2.0, 8.1, 1.0)
    while rig.now() < begin + WATCHED_S:
        await asyncio.sleep(2.0)
        if rig.now() > begin + 10 and "wk-000101" not in rig.jobs:
            accepted = await rig.ask(rig.controllers[1], "POST", "/v1/jobs", late, 5.0)
            if accepted is not None and accepted[0] in (200, 201):
                rig.jobs["wk-000101"] = late
    starts = sum(event[0] == "start" for event in rig.events)
    rig.note(f"{starts} tasks were started; processes ended: {len(ends)}")
    return ends


play(FOLDER, case, verbose=False)

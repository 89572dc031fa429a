"""The leader crashes while users ask about unknown ids; a job waits for others, of which one is done."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))

from deployment import TROUBLE, ZONES, CannotRun, play, start  # noqa: E402
from rig import call  # noqa: E402

# As many names as do not fit into one value of 2 KiB, the limit that `state.next` announces.
NAMED = 172
UNKNOWN_PER_NODE = 12.0
WATCHED_S = 92.0
RULE_S = 90.0
RESTART_DELAY_S = 5.0
NEXT = "\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 21.0\n"


async def storm(rig, node, counts):
    """Asks a controller about ids that nobody submitted."""
    number = 0

    async def question(name):
        answer = await call(node.front, "GET", f"/v1/jobs/{name}", None, 2.0)
        counts["unknown"] += 1
        counts["unknown answered"] += answer is not None and answer[0] == 404
        if answer is not None and answer[0] == 200:
            counts["invented"] += 1

    while True:
        number += 1
        rig.loops.append(asyncio.ensure_future(question(f"wk-{700_000 + 10_000 * node.index + number}")))
        await asyncio.sleep(1.0 / UNKNOWN_PER_NODE)


async def case(rig):
    settings = rig.settings
    rig.settings = lambda node: settings(node) + NEXT
    for number, zone in enumerate(ZONES, 1):
        rig.add_worker(f"i-{number:06d}", "colibri-eight", zone)
    await start(rig)
    await asyncio.sleep(2)
    names = [f"wk-{number:06d}" for number in range(1, NAMED + 1)]
    todo = list(names[1:])

    async def submitter():
        while todo:
            name = todo.pop()
            if await rig.submit(rig.controllers, rig.job(name, 1, 0.05, 0.1, 900.0)) is None:
                raise CannotRun(f"{name} was not accepted")

    await asyncio.gather(*[submitter() for _ in range(4)])
    # The first job goes last; it is done after some seconds, the others run for as long as the case lasts.
    if await rig.submit(rig.controllers, rig.job(names[0], 1, 0.05, 0.1, 4.0, pecking="high")) is None:
        raise CannotRun(f"{names[0]} was not accepted")
    waiting = rig.job("wk-000900", 1, 0.05, 0.1, 5.0, awaits=names)
    if await rig.submit(rig.controllers, waiting) is None:
        raise CannotRun("the waiting job was not accepted")
    for _ in range(150):
        await asyncio.sleep(0.1)
        answer = await call(rig.controllers[1].front, "GET", f"/v1/jobs/{names[0]}", None, 2.0)
        if answer is not None and answer[0] == 200 and answer[2]["mood"] == "done":
            break
    else:
        raise CannotRun("the first job is not done")
    rig.note(f"{names[0]} is done; wk-000900 waits for the other {NAMED - 1}")

    counts = {"unknown": 0, "unknown answered": 0, "invented": 0, "others": 0, "others answered": 0, "asked": 0}
    for node in rig.controllers:
        rig.loops.append(asyncio.ensure_future(storm(rig, node, counts)))
    await asyncio.sleep(2.0)
    begin = told_at = rig.now()
    leader = rig.controllers[rig.index_of(rig.leader())]
    if TROUBLE:
        leader.kill()
        rig.note(f"{leader.label}, the leader, crashed")
    longest_s, is_back, turn = 0.0, not TROUBLE, 0
    while rig.now() < begin + WATCHED_S:
        if not is_back and rig.now() > begin + RESTART_DELAY_S:
            leader.start()
            is_back = True
        turn += 1
        up = [node for node in rig.controllers if node.process.poll() is None]
        node = up[turn % len(up)]
        answer, other = await asyncio.gather(
            rig.ask(node, "GET", "/v1/jobs/wk-000900", None, 2.0),
            call(node.front, "GET", f"/v1/jobs/{names[1 + turn % (NAMED - 1)]}", None, 2.0),
        )
        counts["asked"] += 1
        if answer is not None and answer[0] == 200:
            told_at = rig.now()
        counts["others"] += 1
        counts["others answered"] += other is not None and other[0] == 200
        longest_s = max(longest_s, rig.now() - told_at)
        await asyncio.sleep(0.5)
    rig.note(f"questions: {counts}; longest time without an answer about wk-000900: {longest_s:.1f} s")
    most = counts["others answered"] > 0.5 * counts["others"] and counts["unknown answered"] > 0.5 * counts["unknown"]
    if longest_s >= RULE_S and not most:
        raise CannotRun("most of the other questions were not answered either")
    return [
        f"every question about the accepted job wk-000900 failed for {longest_s:.1f} s, while {counts['others answered']} of "
        f"{counts['others']} about other jobs and {counts['unknown answered']} of {counts['unknown']} about unknown ids "
        "were answered"
    ] if longest_s >= RULE_S else []


play(FOLDER, case, verbose=False)

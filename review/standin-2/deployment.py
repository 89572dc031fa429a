"""Settings of the Cusco deployment (kit/next/cusco-avecenso-grown.toml) at three controllers, and the frame of a case."""

import asyncio
import os
import sys
import traceback

from rig import Rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 116.0

ZONES = ["lima-colo", "sacsayhuaman-room", "wanchaq-hall"]
FACTS = {
    "teams": [{"name": "avecenso-ops", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
    "workers": {"report_s": 0.8, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
    "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
    "cloud": {"rps": 8.0, "list_lag_s": 10.0},
    "machine_limits": {"core_share": 0.2, "memory_mb": 40.0, "max_sockets": 700},
}
BREEDS = [
    {
        "label": "colibri-eight", "cores": 8.0, "gpus": 0.0, "ram_gb": 64.0, "cache_gb": 25.0, "pull_gb_per_s": 0.3,
        "hourly": 0.54, "spot_price": 0.19, "startup_s": 30.0, "roosts": ZONES,
    },
    {
        "label": "condor-sixtyfour", "cores": 64.0, "gpus": 0.0, "ram_gb": 512.0, "cache_gb": 35.0,
        "pull_gb_per_s": 0.3, "hourly": 4.02, "spot_price": 1.31, "startup_s": 15.0, "roosts": ZONES,
    },
]  # fmt: skip


class CannotRun(Exception):
    """The case could not be played."""


def play(folder, case, verbose=True):
    """Plays `case(rig)`, which returns the violations that it saw, and exits as the issue says."""

    async def main():
        rig = Rig(os.path.join(folder, "record.txt"), FACTS, BREEDS, ZONES, verbose=verbose)
        try:
            rig.note(f"trouble: {'on' if TROUBLE else 'off'}")
            violations = await asyncio.wait_for(case(rig), LIMIT_S)
            for violation in violations:
                rig.note(f"RULE BROKEN: {violation}")
                print(f"rule broken: {violation}")
            if not violations:
                rig.note("the rule held")
                print("the rule held")
            return 1 if violations else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            rig.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await rig.stop()

    try:
        status = asyncio.run(main())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        status = 2
    sys.exit(status)


async def start(rig):
    """Starts the deployment and waits until it serves."""
    await rig.start()
    if not await rig.ready():
        raise CannotRun("the controllers are not healthy")
    for _ in range(100):
        if rig.leader() is not None and all(worker.crest > 0 for worker in rig.workers.values()):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("no leader, or not all machines are registered")

"""Workers that were listed as gone and come back without a restart stay withdrawn after a restart of the manager."""

import asyncio
from pathlib import Path

from review.rig.case import run
from review.rig.platform import Platform

SILENT_S = 6.0  # STANDING: for 6 s a zone is partitioned, or a fifth of the workers fall silent
NOTICED_S = 4.6  # site file: silent_notice_s = [4.4, 12]
LISTED_AGAIN_S = 1.0  # site file: add_s = [0.43, 1.9]
DRAIN_S = 4.0  # site file: 3.9 to 5.8 s
DOWN_S = 4.0  # brief: managers die and come back after 2 to 9.6 s


async def play(record, trouble):
    """The day of the case; returns whether the rule held."""
    platform = Platform(record)
    try:
        await platform.begin()
        manager = platform.seats[0]
        await asyncio.sleep(6)
        silent = list(platform.workers.values())[2:9:3]  # a fifth: three of fifteen
        names = [worker.name for worker in silent]
        if trouble:
            platform.record(f"for {SILENT_S} s these are silent: {names}")
            for worker in silent:
                worker.silent = True
            await asyncio.sleep(NOTICED_S)
            platform.change_workers(names, state="left")
            await asyncio.sleep(1.0)
            manager.kill()
            await asyncio.sleep(SILENT_S - NOTICED_S - 1.0)
            for worker in silent:
                worker.silent = False
            platform.record("they answer again, without a restart")
            await asyncio.sleep(LISTED_AGAIN_S)
            platform.change_workers(names, state="active")
            await asyncio.sleep(DOWN_S - LISTED_AGAIN_S - 0.4)
            await manager.start()
            await asyncio.sleep(3)
            platform.give_back(manager)
        await asyncio.sleep(10)
        # A rolling deploy, with and without the disruption: the other workers are replaced, two of fifteen at a time.
        for batch in (("s-00", "s-01"), ("s-03", "s-04"), ("s-06", "s-07"), ("s-09", "s-10"), ("s-12", "s-13")):
            for name in batch:
                await platform.add_worker(f"s-{len(platform.workers)}", platform.workers[name].zone)
            platform.record(f"{batch} drain and are replaced")
            platform.change_workers(batch, state="leaving")
            await asyncio.sleep(DRAIN_S)
            platform.change_workers(batch, state="left")
            await asyncio.sleep(0.5)
        await asyncio.sleep(3)
        for seat in platform.seats:
            held = {proxy.number: sorted(proxy.withdrawn[seat]) for proxy in platform.proxies}
            platform.record(f"withdrawn by {seat.name} at the end, by proxy: {held}")
        platform.record(
            "transactions by worker: " + str({worker.name: worker.received for worker in platform.workers.values()})
        )
        platform.record(f"transactions {platform.sent}, without a good answer {platform.unserved}")
        without_line = [key for key in platform.broken if key[0] == "no line"]
        platform.record(f"proxies and slices left without a line: {len(without_line)}")
        platform.check_lateness()
        return not without_line
    finally:
        await platform.end()


run(Path(__file__).parent, play)

"""A rolling deploy of workers while proxies are restarted in batches: slices are left without a worker for seconds."""

import asyncio
import os
import time
from pathlib import Path

from review.rig.case import run
from review.rig.platform import Platform

# Site file: lines_per_s = [8000, 11000], late_ms = [120, 440]; the queue holds what is sent in 3 s ("at least 1 s").
FAMILY = {"EgressPerS": 8000.0, "QueueCap": 24000.0, "PushDelayS": 0.44, "TransitMaxS": 1.1}
WORKERS, PROXIES, SLICES = 30, 150, 180  # DAYS: 150 proxies and 30 workers; site file: 4.4 to 8 slices for each worker
# The deploy: len_s = [37, 20], part = [0.41, 0.99], size = [0.06, 0.15], extra = [3.9, 5.8]; add_s = [0.43, 1.9]
BATCH, BATCHES, BATCH_S, DRAIN_S, SUCCESSOR_S = 3, 8, 3.07, 4.2, (0.43, 1.9)
# The restarts of proxies: len_s = [28, 13], part = [0.57, 1], size = [0.09, 0.29], extra = [0.2, 1.5]
RESTARTED, RESTARTS, RESTART_S, DOWN_S = 15, 9, 1.8, 0.53
SETTLE_S, STAY_S = 12.0, 8.0  # after the last batch; after the first break of a rule


async def play(record, trouble):
    """The day of the case; returns whether the rule held."""
    platform = Platform(
        record,
        workers=WORKERS,
        slices=SLICES,
        proxies=PROXIES,
        rate=150.0,
        family=FAMILY,
        seed=int(os.environ.get("SEED", "1")),
    )
    try:
        await platform.begin()
        await asyncio.sleep(5)
        platform.task(deploy(platform))
        if trouble:
            platform.task(restart_proxies(platform))
        end = time.monotonic() + BATCHES * BATCH_S + SETTLE_S
        while time.monotonic() < min(
            [end, *(at + STAY_S for key, at in platform.broken.items() if key[0] == "no line")]
        ):
            await asyncio.sleep(0.1)
        for seat in platform.seats:
            platform.record(f"the most lines that waited in the channel of {seat.name}: {seat.peak_lines:.0f}")
        drains = [key for key in platform.broken if key[0] == "drain"]
        platform.record(f"pairs of proxy and slice without a line for too long: {len(platform.broken) - len(drains)}")
        platform.record(f"pairs of proxy and worker after the drain's grace: {len(drains)}")
        platform.record(f"transactions {platform.sent}, without a line to pick {platform.unpicked}")
        platform.check_lateness()
        return len(drains) == len(platform.broken)  # the rule of this case is that of slices without a line
    finally:
        await platform.end()


async def restart_proxies(platform):
    """Restarts proxies in batches, beginning some seconds after the deploy."""
    await asyncio.sleep(BATCH_S)
    for _ in range(RESTARTS):
        proxies = platform.random.sample(platform.proxies, RESTARTED)
        platform.record(f"proxies restart: {sorted(proxy.number for proxy in proxies)}")
        platform.restart_proxies(proxies, DOWN_S)
        await asyncio.sleep(RESTART_S)


async def deploy(platform):
    """Replaces workers in batches."""
    names = list(platform.workers)
    platform.random.shuffle(names)
    for batch in range(BATCHES):
        leaving = names[batch * BATCH : (batch + 1) * BATCH]
        platform.record(f"{leaving} drain and are replaced")
        platform.change_workers(leaving, state="leaving")
        platform.later(DRAIN_S, lambda leaving=leaving: platform.change_workers(leaving, state="left"))
        wait = platform.random.uniform(*SUCCESSOR_S)
        await asyncio.sleep(wait)
        for name in leaving:
            await platform.add_worker(f"s-{len(platform.workers)}", platform.workers[name].zone)
        await asyncio.sleep(BATCH_S - wait)


run(Path(__file__).parent, play)

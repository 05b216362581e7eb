"""Proxies are restarted in batches during a rolling deploy, on a channel with a short queue: slices lack a worker.

It uses the stand-ins of the first review, `review/rig`.
"""

import asyncio
import os
import time
from pathlib import Path

from review.rig.case import run
from review.rig.platform import Platform

# Site file: lines_per_s = [8000, 11000], late_ms = [120, 440]; the queue holds what is sent in 1.2 s ("at least 1 s").
FAMILY = {"EgressPerS": 8000.0, "QueueCap": 9600.0, "PushDelayS": 0.44, "TransitMaxS": 1.1}
WORKERS, PROXIES, SLICES = 30, 150, 180  # DAYS: 150 proxies and 30 workers; site file: 4.4 to 8 slices for each worker
# The deploy: len_s = [37, 20], part = [0.41, 0.99], size = [0.06, 0.15], extra = [3.9, 5.8]; add_s = [0.43, 1.9]
REPLACED, STEP_S, DRAIN_S, SUCCESSOR_S = 27, 0.77, 4.2, 1.2
# The restarts of proxies: len_s = [28, 13], part = [0.57, 1], size = [0.09, 0.29], extra = [0.2, 1.5]
RESTARTED, RESTARTS, RESTART_S, DOWN_S, RESTARTS_BEGIN_S = 15, 9, 2.1, 0.53, 7.0
SETTLE_S = 8.0  # after the deploy


async def play(record, trouble):
    """The day of the case; returns whether the rule on proxies without a line held."""
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
        end = time.monotonic() + REPLACED * STEP_S + SETTLE_S
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
        starved = [key for key in platform.broken if key[0] == "no line"]
        for seat in platform.seats:
            platform.record(f"the most lines that waited in the channel of {seat.name}: {seat.peak_lines:.0f}")
        platform.record(f"pairs of proxy and slice without a line for too long: {len(starved)}")
        platform.record(f"pairs of proxy and worker after the drain's grace: {len(platform.broken) - len(starved)}")
        platform.record(f"transactions {platform.sent}, without a line to pick {platform.unpicked}")
        platform.record(f"late turns of the stand-ins: {platform.late_ticks}, the longest {platform.latest:.3f} s")
        platform.check_lateness()
        return not starved
    finally:
        await platform.end()
        await asyncio.sleep(0.2)  # lets the connections of this process close


async def restart_proxies(platform):
    """Restarts proxies in batches, beginning some seconds after the deploy."""
    await asyncio.sleep(RESTARTS_BEGIN_S)
    for _ in range(RESTARTS):
        proxies = platform.random.sample(platform.proxies, RESTARTED)
        platform.record(f"proxies restart: {sorted(proxy.number for proxy in proxies)}")
        platform.restart_proxies(proxies, DOWN_S)
        await asyncio.sleep(RESTART_S)


async def deploy(platform):
    """Replaces workers, one after another."""
    names = list(platform.workers)
    platform.random.shuffle(names)
    for name in names[:REPLACED]:
        platform.record(f"{name} drains and is replaced")
        platform.change_workers([name], state="leaving")
        platform.later(DRAIN_S, lambda name=name: platform.change_workers([name], state="left"))
        platform.task(add_successor(platform, platform.workers[name].zone))
        await asyncio.sleep(STEP_S)


async def add_successor(platform, zone):
    """A new worker is listed a little later."""
    await asyncio.sleep(SUCCESSOR_S)
    await platform.add_worker(f"s-{len(platform.workers)}", zone)


run(Path(__file__).parent, play)

"""A key comes into heavy demand while a worker that holds its slice is cold: is that worker pushed over?"""

import asyncio
import sys

from .day import Day, main
from .settings import make_settings

WORKERS, SLICES, PROXIES = 16, 80, 7
PER_S, WRITE_SHARE, WORK_S = 230.0, 0.48, 0.275
LOAD = 1.0  # of the capacity of all workers
CAPACITY = PER_S * WORK_S / LOAD / WORKERS  # of one worker, in core seconds a second
HOT_SHARE = 0.12  # of all traffic, for one key
SETTLE_S, LISTED_AFTER_S, REPORT_DELAY_S, MAX_WAIT_S, BEFORE_HOT_S, HOT_S = 10.0, 0.5, 0.3, 2.5, 0.7, 11.0
DRAIN_S, JUST_STARTED_S = 5.0, 4.0
REPLACED, STEPS, BETWEEN_S = 2, 3, 4.3


def slices_of_cold_workers(day):
    """The slices that have nearly all of their weight at a worker that has started within the last seconds."""
    now = asyncio.get_running_loop().time()
    new = {name for name, check in day.cold.items() if now - check.started_s < JUST_STARTED_S}
    return [
        index
        for index, table in day.relay.store.items()
        if any(weight > 0.9 for name, weight in table.items() if name in new)
    ]


async def play(record, with_trouble):
    """Three steps of a deploy, two of sixteen workers each; after each, a slice of a new one is in demand."""
    settings = make_settings(SLICES, PROXIES, PushDelayS=0.18, EgressPerS=6000.0, QueueCap=9000.0, OutlierAfter=0)
    settings["Rules"] |= {"ColdFrom": 0.16, "ColdS": 16.0, "FallS": 2.0, "DrainGraceS": 1.5, "FullMayHaveRun": False}
    day = Day(record, settings, WORKERS)
    day.relay.proxy_rate, day.report_delay_s = round(PER_S / PROXIES, 1), REPORT_DELAY_S
    try:
        await day.start()
        day.begin_traffic(PER_S, WRITE_SHARE, WORK_S)
        await asyncio.sleep(SETTLE_S)
        names = list(day.workers)
        for step in range(STEPS):
            await replace(day, names[step * REPLACED : (step + 1) * REPLACED])
            held = slices_of_cold_workers(day)
            record.write(f"slices held by workers that have just started: {held}")
            if with_trouble and held:
                day.hot_slices, day.hot_share = held[:1], HOT_SHARE
                record.write(f"a key of slice {held[0]} draws {HOT_SHARE:.0%} of the traffic")
            await asyncio.sleep(HOT_S)
            day.hot_slices = []
            if day.cold_breaks:
                break
            await asyncio.sleep(BETWEEN_S)
        record.write(f"{day.answered} transactions answered, {day.refused} refused")
        return day.cold_breaks
    finally:
        day.close()


async def replace(day, leaving):
    """New workers are listed and the old ones drain; returns some time after a new one has got a slice."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await asyncio.gather(
        *(day.add_worker(f"{name}-new", day.sites[name], LISTED_AFTER_S, CAPACITY) for name in leaving)
    )
    await asyncio.sleep(0.3)
    for name in leaving:
        day.drain_worker(name)
        loop.call_later(DRAIN_S, day.remove_worker, name)
    while not slices_of_cold_workers(day) and loop.time() - started_s < MAX_WAIT_S:
        await asyncio.sleep(0.02)
    await asyncio.sleep(BEFORE_HOT_S)


if __name__ == "__main__":
    main(sys.argv[1], play)

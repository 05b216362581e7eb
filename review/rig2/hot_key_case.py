"""A key comes into heavy demand while a worker that holds its slice is cold: is that worker pushed over?"""

import asyncio
import sys

from .day import Day, main
from .settings import make_settings

WORKERS, SLICES, PROXIES = 16, 80, 7
PER_S, WRITE_SHARE, WORK_S = 230.0, 0.48, 0.275
LOAD = 0.9  # of the capacity of all workers
CAPACITY = PER_S * WORK_S / LOAD / WORKERS  # of one worker, in core seconds a second
HOT_SHARE = 0.12  # of all traffic, for one key
SETTLE_S, LISTED_AFTER_S, REPORT_DELAY_S, MAX_WAIT_S, HOT_S, END_S = 10.0, 0.5, 0.3, 4.0, 11.0, 2.0
DRAIN_S = 5.0
REPLACED, BEFORE_HOT_S = 2, 1.5


async def play(record, with_trouble):
    """Replace two of sixteen workers, then let a slice of a new one draw 12% of the traffic."""
    settings = make_settings(SLICES, PROXIES, PushDelayS=0.18, EgressPerS=6000.0, QueueCap=9000.0, OutlierAfter=0)
    settings["Rules"] |= {"ColdFrom": 0.16, "ColdS": 16.0, "FallS": 2.0, "DrainGraceS": 1.5, "FullMayHaveRun": False}
    day = Day(record, settings, WORKERS)
    day.relay.proxy_rate, day.report_delay_s = round(PER_S / PROXIES, 1), REPORT_DELAY_S
    loop = asyncio.get_running_loop()
    try:
        await day.start()
        day.begin_traffic(PER_S, WRITE_SHARE, WORK_S)
        await asyncio.sleep(SETTLE_S)
        leaving = list(day.workers)[:REPLACED]
        await asyncio.gather(
            *(day.add_worker(f"{name}-new", day.sites[name], LISTED_AFTER_S, CAPACITY) for name in leaving)
        )
        await asyncio.sleep(0.3)
        for name in leaving:
            day.drain_worker(name)
            loop.call_later(DRAIN_S, day.remove_worker, name)
        began_s, held = loop.time(), []
        while not held and loop.time() - began_s < MAX_WAIT_S:
            await asyncio.sleep(0.1)
            held = [
                index
                for index, table in day.relay.store.items()
                if any(weight > 0.9 for name, weight in table.items() if name in day.cold)
            ]
        record.write(f"slices held by workers that have just started: {held}")
        await asyncio.sleep(BEFORE_HOT_S)
        if with_trouble and held:
            day.hot_slices, day.hot_share = held[:1], HOT_SHARE
            record.write(f"a key of slice {held[0]} draws {HOT_SHARE:.0%} of the traffic")
        await asyncio.sleep(HOT_S)
        day.hot_slices = []
        await asyncio.sleep(END_S)
        record.write(f"{day.answered} transactions answered, {day.refused} refused")
        return day.cold_breaks
    finally:
        day.close()


if __name__ == "__main__":
    main(sys.argv[1], play)

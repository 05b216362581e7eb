"""A rolling deploy at a deployment whose slices have a single owner: are the writes of a slice ever at two workers?"""

import asyncio
import sys

from .day import Day, main
from .settings import make_settings

WORKERS, SLICES, PROXIES = 12, 60, 8
PER_S, WRITE_SHARE, WORK_S = 200.0, 0.3, 0.35
# Ten of twelve workers are replaced within 30 s, two at a time: 83% of the fleet, 17% at a time.
SETTLE_S, STEP_S, DRAIN_S, BATCH, BATCHES, END_S = 5.0, 6.0, 5.0, 2, 5, 4.0
BEFORE_S = 1.0  # from the change of the slices in demand to the next step of the deploy
HOT_SHARE, HOT_BATCHES = 0.12, 2  # two slices are in demand for 12 s, then two others


async def play(record, with_trouble):
    """Replace ten of twelve workers, two at a time, each drained first; returns the breaks of the rule."""
    day = Day(record, make_settings(SLICES, PROXIES, SoleOwner=True), WORKERS)
    try:
        await day.start()
        day.begin_traffic(PER_S, WRITE_SHARE, WORK_S)
        await asyncio.sleep(SETTLE_S)
        names = list(day.workers)
        for batch in range(BATCHES):
            leaving = names[batch * BATCH : (batch + 1) * BATCH]
            if batch % HOT_BATCHES == 0:
                day.hot_share = HOT_SHARE
                day.hot_slices = [
                    next((index for index, lines in day.relay.store.items() if name in lines), 0) for name in leaving
                ]
                record.write(f"slices in demand: {day.hot_slices}")
                await asyncio.sleep(BEFORE_S)
            if with_trouble:
                for name in leaving:
                    await day.add_worker(f"{name}-new", day.sites[name])
                    day.drain_worker(name)
                await asyncio.sleep(DRAIN_S)
                for name in leaving:
                    day.remove_worker(name)
                await asyncio.sleep(STEP_S - DRAIN_S)
            else:
                await asyncio.sleep(STEP_S)
        await asyncio.sleep(END_S)
        record.write(f"{day.answered} transactions answered, {day.refused} refused")
        return day.sole_owner.violations
    finally:
        day.close()


if __name__ == "__main__":
    main(sys.argv[1], play)

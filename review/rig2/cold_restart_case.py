"""A rolling deploy while the manager is restarted: is a worker that has just started pushed over?"""

import asyncio
import sys

from .day import Day, main
from .settings import make_settings

WORKERS, SLICES, PROXIES = 14, 70, 9
PER_S, WRITE_SHARE, WORK_S = 170.0, 0.28, 0.255
LOAD = 1.0  # of the capacity of all workers
CAPACITY = PER_S * WORK_S / LOAD / WORKERS  # of one worker, in core seconds a second
BASE_SHARE = 0.07  # of the traffic, for each of the two slices that are in demand; the others share the rest
HOT_SLICES = [0, 12]  # in demand; each is placed by a hash of its number while its demand is unknown
HOT_SHARE = 0.095  # of the traffic goes to these two beside that
SETTLE_S, LISTED_AFTER_S, DOWN_S, AFTER_LISTING_S, DRAIN_S, END_S = 12.0, 0.5, 0.5, 0.1, 5.0, 6.0


def make_store(shares, names):
    """The tables at the start: each slice on one worker, so that all workers have about the same load."""
    loads, store = dict.fromkeys(names, 0.0), {}
    for index in sorted(range(SLICES), key=lambda index: -shares[index]):
        name = min(names, key=loads.get)
        loads[name] += shares[index]
        store[index] = {name: 1.0}
    return dict(sorted(store.items()))


async def play(record, with_trouble):
    """Replace two of fourteen workers, and restart the manager meanwhile; returns the breaks of the rule."""
    hot = HOT_SLICES
    rest = (1.0 - BASE_SHARE * len(hot)) / (SLICES - len(hot))
    weights = [BASE_SHARE if index in hot else rest for index in range(SLICES)]
    shares = [weight * (1 - HOT_SHARE) + HOT_SHARE / len(hot) * (index in hot) for index, weight in enumerate(weights)]
    store = make_store(shares, [f"s-{number:04x}" for number in range(WORKERS)])
    day = Day(record, make_settings(SLICES, PROXIES, PushDelayS=0.15), WORKERS, store=store)
    day.slice_weights, day.hot_slices, day.hot_share = weights, hot, HOT_SHARE
    day.relay.proxy_rate = round(PER_S / PROXIES, 1)
    try:
        await day.start()
        day.begin_traffic(PER_S, WRITE_SHARE, WORK_S)
        await asyncio.sleep(SETTLE_S)
        leaving = [max(day.relay.store[index].items(), key=lambda line: line[1])[0] for index in hot]
        record.write(f"tables of the slices in demand: {[day.relay.store[index] for index in hot]}")
        if with_trouble:
            day.stop_manager()
        await asyncio.sleep(DOWN_S)
        deploy = [day.add_worker(f"{name}-new", day.sites[name], LISTED_AFTER_S, CAPACITY) for name in leaving]
        await asyncio.gather(*deploy, *([day.start_manager_again()] if with_trouble else []))
        await asyncio.sleep(AFTER_LISTING_S)
        for name in leaving:
            day.drain_worker(name)
        await asyncio.sleep(DRAIN_S)
        for name in leaving:
            day.remove_worker(name)
        await asyncio.sleep(END_S)
        record.write(f"{day.answered} transactions answered, {day.refused} refused")
        return day.cold_breaks
    finally:
        day.close()


if __name__ == "__main__":
    main(sys.argv[1], play)

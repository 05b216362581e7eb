"""Simulated days of a rolling deploy beside restarting proxies, drawn from a seed and played in virtual time.

    python -m tests.deploy_days 200        # seeds 0 to 199; prints the rules that each day broke, exits 1 if any did
    python -m tests.deploy_days 200 100    # seeds 100 to 199

Servers drain a few at a time, leave, and are replaced by cold ones under new names, while proxies restart in batches.
All figures are drawn from the ranges that the operators' file gives for the site `tas-orders`, half of the days with
those of the channel at their slow end.
"""

import sys
from random import Random

from .channel import ChannelRelay
from .wide_days import FIRST_EVENT_S, Day, WideDay, main

PROXIES, SERVERS, MANAGERS, GRACE_S = 150, 30, 2, 2.0
SLICES_PER_SERVER = 4.4, 8.0
LINES_PER_S, TRANSIT_S, QUEUE_S = (8_000.0, 11_000.0), (0.12, 0.44), (1.0, 3.0)
DEPLOY_S, DEPLOYED_PART, DEPLOYED_AT_ONCE = (20.0, 37.0), (0.41, 0.99), (0.06, 0.15)
DRAIN_S, ADD_S = (3.9, 5.8), (0.43, 1.9)
RESTARTS_S, RESTARTED_PART, RESTARTED_AT_ONCE, DOWN_S = (13.0, 28.0), (0.57, 1.0), (0.09, 0.29), (0.2, 1.5)
REDIAL_S, STORE_READ_US = (0.2, 2.4), 420_000
PROBABILITIES = {"streams": 0.25, "reports": 0.7, "doubt": 0.15, "restart": 0.15}


class DeployDay(WideDay):
    """One seed's day: draws its events and plays it against the service in virtual time."""

    def __init__(self, seed, relay_type=ChannelRelay):
        self.rng = rng = Random(f"deploy {seed}")
        self.slow_end = rng.random() < 0.5
        lines_per_s = LINES_PER_S[0] if self.slow_end else rng.uniform(*LINES_PER_S)
        self.draw()
        self.channel_load = 0.0
        self.build(relay_type, round(lines_per_s), round(lines_per_s * rng.uniform(*QUEUE_S)))
        self.relay.max_store_read_us = STORE_READ_US

    def draw(self):
        """Draws the day's parameters, its deploy and its faults."""
        rng = self.rng
        self.day = day = Day(
            proxies=PROXIES,
            slices=round(SERVERS * rng.uniform(*SLICES_PER_SERVER) / MANAGERS),
            workers=SERVERS,
            grace_s=GRACE_S,
            transit_s=TRANSIT_S[1] if self.slow_end else rng.uniform(*TRANSIT_S),
            length_s=rng.uniform(*DEPLOY_S),
        )
        self.initial_servers, self.last_server_number = list(range(1, SERVERS + 1)), SERVERS
        self.initial_slices, self.drain_times_s = day.slices, []
        self.draw_deploy()
        self.draw_restarting()
        for trouble, probability in PROBABILITIES.items():
            if rng.random() < probability:
                day.troubles.append(trouble)
                getattr(self, f"draw_{trouble}")()
        day.events.sort(key=lambda event: event.at_s)

    def draw_deploy(self):
        """Batches of servers drain, leave and are replaced by cold ones."""
        rng, day = self.rng, self.day
        count, size = (
            round(SERVERS * rng.uniform(*DEPLOYED_PART)),
            max(1, int(SERVERS * rng.uniform(*DEPLOYED_AT_ONCE))),
        )
        leaving, drain_s, add_s = rng.sample(self.initial_servers, count), rng.uniform(*DRAIN_S), rng.uniform(*ADD_S)
        batches = [leaving[first : first + size] for first in range(0, count, size)]
        for index, batch in enumerate(batches):
            at_s = FIRST_EVENT_S + day.length_s * index / len(batches)
            added = list(range(self.last_server_number + 1, self.last_server_number + len(batch) + 1))
            self.last_server_number += len(batch)
            self.schedule_drain(at_s, batch)
            self.schedule(at_s + drain_s, lambda batch=batch: self.change("left", batch))
            self.schedule(at_s + add_s, lambda added=added: self.change("active", added, born=True))

    def draw_restarting(self):
        """Proxies restart in batches, beginning at some time of the deploy."""
        rng, day = self.rng, self.day
        count, size = round(PROXIES * rng.uniform(*RESTARTED_PART)), int(PROXIES * rng.uniform(*RESTARTED_AT_ONCE))
        length_s, down_s, begin_s = rng.uniform(*RESTARTS_S), rng.uniform(*DOWN_S), rng.uniform(0, day.length_s / 2)
        for first in range(0, count, size):
            at_s = FIRST_EVENT_S + begin_s + length_s * first / count
            for _ in range(min(size, count - first)):
                pick = rng.random()
                self.schedule(at_s, lambda pick=pick: self.disconnect_proxy(pick, 0.0))
                return_s = at_s + down_s + rng.uniform(*REDIAL_S)
                self.schedule(return_s, lambda: self.reconnect_proxy(True), has_arrivals=True)


if __name__ == "__main__":
    end, first = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    sys.exit(main(range(first, end), DeployDay))

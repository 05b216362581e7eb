"""Simulated days on which servers are released in place, drawn from a seed and played in virtual time.

    python -m tests.release_days 200        # seeds 0 to 199; prints the rules that each day broke, exits 1 if any did
    python -m tests.release_days 200 100    # seeds 100 to 199

Servers drain a few at a time and are ready again, cold, under their names. Beside that servers of a whole zone restart
or are gone for a while, and the troubles of `wide_days` happen. The channel has the pace that the settings of the site
give a proxy, so these days need no reference: the release is no faster than the site's own.
"""

import sys
from random import Random

from .channel import ChannelRelay
from .wide_days import FIRST_EVENT_S, Day, WideDay, main

GROUP_PART = 0.06, 0.15  # part of the servers that drain at a time
GROUP_INTERVAL_S, AWAY_S = (1.7, 3.4), (2.0, 9.0)
LINES_PER_S_PER_PROXY, QUEUE_S = (53.0, 73.0), (1.0, 3.0)  # the latter: the queue limit, in seconds of the rate
ZONES = 3
PROBABILITIES = {
    "cold_zone": 0.5,
    "lost_zone": 0.3,
    "restarting": 0.4,
    "streams": 0.5,
    "herd": 0.3,
    "doubt": 0.3,
    "news": 0.2,
    "deaf": 0.2,
    "reports": 0.7,
    "restart": 0.2,
}


class ReleaseDay(WideDay):
    """One seed's day: draws its events and plays it against the service in virtual time."""

    def __init__(self, seed, relay_type=ChannelRelay):
        self.rng = Random(f"release {seed}")
        self.draw()
        lines_per_s = self.day.proxies * self.rng.uniform(*LINES_PER_S_PER_PROXY)
        self.channel_load = 0.0
        self.build(relay_type, round(lines_per_s), round(lines_per_s * self.rng.uniform(*QUEUE_S)))

    def draw(self):
        """Draws the day's parameters, its release and its faults."""
        rng = self.rng
        self.day = Day(
            proxies=rng.randint(60, 200),
            slices=rng.randint(40, 100),
            workers=rng.randint(18, 36),
            grace_s=rng.uniform(2.0, 3.0),
            transit_s=rng.uniform(0.1, 0.25),
            length_s=rng.uniform(14, 24),
        )
        self.initial_servers, self.last_server_number = list(range(1, self.day.workers + 1)), self.day.workers
        self.initial_slices, self.drain_times_s = self.day.slices, []
        self.draw_release()
        for trouble, probability in PROBABILITIES.items():
            if rng.random() < probability:
                self.day.troubles.append(trouble)
                getattr(self, f"draw_{trouble}")()
        self.day.events.sort(key=lambda event: event.at_s)

    def draw_release(self):
        """Groups of servers drain and return, one after another, and again from the first one on."""
        rng, day = self.rng, self.day
        order = rng.sample(self.initial_servers, day.workers)
        size = max(1, round(day.workers * rng.uniform(*GROUP_PART)))
        away_s, at_s, first = rng.uniform(*AWAY_S), FIRST_EVENT_S, 0
        while at_s < FIRST_EVENT_S + day.length_s:
            numbers = [order[(first + place) % day.workers] for place in range(size)]
            self.schedule_drain(at_s, numbers)
            self.schedule(at_s + away_s, lambda numbers=numbers: self.change("active", numbers, born=True))
            at_s, first = at_s + rng.uniform(*GROUP_INTERVAL_S), first + size

    def draw_cold_zone(self):
        """The ready servers of one zone are listed with a new start, at once."""
        numbers = self.initial_servers[self.rng.randrange(ZONES) :: ZONES]
        at_s = FIRST_EVENT_S + self.rng.uniform(0, self.day.length_s)
        self.schedule(at_s, lambda: self.change("active", self._ready(numbers), born=True))

    def draw_lost_zone(self):
        """The ready servers of one zone are gone at once and return cold."""
        numbers = self.initial_servers[self.rng.randrange(ZONES) :: ZONES]
        at_s, lost = FIRST_EVENT_S + self.rng.uniform(0, self.day.length_s * 0.7), []

        def lose():
            lost.extend(self._ready(numbers))
            self.change("left", lost)

        self.drain_times_s.append(at_s)
        self.schedule(at_s, lose, drained_servers=len(numbers))
        self.schedule(at_s + self.rng.uniform(1.5, 5.0), lambda: self.change("active", lost, born=True))

    def _ready(self, numbers):
        return [number for number in numbers if self.agent.entries[f"s-{number}"]["health"] == "active"]


if __name__ == "__main__":
    end, first = int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else 0
    sys.exit(main(range(first, end), ReleaseDay))

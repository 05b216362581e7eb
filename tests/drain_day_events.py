"""Draws the events of a day of `soak_drains` before it is played. No I/O."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True)
class Event:
    """An event at `at_s` seconds of the day; `kind` names the method of the day that carries it out.

    `seed` is of the event's own draws, so that they don't depend on the course of the day until then.
    """

    at_s: float
    kind: str
    seed: int


@dataclass(frozen=True)
class Frequency:
    """How many events of a kind a day has; they come before the part `until` of the day is over."""

    min_count: int
    max_count: int
    until: float = 1.0


KINDS = {
    "drain_servers": Frequency(6, 14, until=0.75),
    "release": Frequency(0, 2, until=0.5),
    "lose_server": Frequency(1, 4, until=0.75),
    "hang_server": Frequency(0, 2),
    "roughen_server": Frequency(3, 8),
    "break_a_stream": Frequency(8, 40),
    "break_a_dozen_streams": Frequency(1, 4),
    "restart_a_proxy": Frequency(4, 24),
    "restart_a_dozen_proxies": Frequency(1, 3),
    "storm_of_restarts": Frequency(1, 3, until=0.75),
    "terminate_manager": Frequency(1, 3, until=0.75),
    "kill_manager": Frequency(1, 2, until=0.75),
    "reload_manager": Frequency(1, 2, until=0.75),
    "stop_manager": Frequency(2, 5),
    "leave_a_call_in_doubt": Frequency(6, 14),
    "break_news": Frequency(0, 2, until=0.75),
    "reset_relay": Frequency(0, 2),
    "silence_relay": Frequency(0, 1, until=0.75),
    "refuse_relay": Frequency(0, 2),
    "silence_agent": Frequency(1, 3),
    "reset_agent": Frequency(1, 4),
    "roughen_links": Frequency(4, 8),
    "shift_demand": Frequency(4, 14),
    "restart_servers_in_place": Frequency(0, 2, until=0.5),
    "restart_zone": Frequency(0, 1, until=0.75),
    "lose_zone": Frequency(0, 1, until=0.6),
    "crowd": Frequency(0, 2),
}


def draw_events(rng: Random, played_s, fraction=1.0):
    """The events of a day of `played_s` seconds in order of time.

    `fraction` is the part of a whole day's events to draw, for a shorter day.
    """
    events = []
    for kind, frequency in KINDS.items():
        for _ in range(round(fraction * rng.randint(frequency.min_count, frequency.max_count))):
            events.append(Event(rng.uniform(0.0, frequency.until * played_s), kind, rng.getrandbits(32)))
    return sorted(events, key=lambda event: event.at_s)

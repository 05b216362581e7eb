"""What happens on a day of `soak_drains`, drawn before it is played. No I/O."""

from dataclasses import dataclass
from random import Random


@dataclass(frozen=True)
class Event:
    """`kind`: a method of the day. `seed`: of its own draws, which so do not depend on how the day went until then."""

    at_s: float
    kind: str
    seed: int


@dataclass(frozen=True)
class Kind:
    """How often, from the least to the most, and until when on the day."""

    least: int
    most: int
    until: float = 1.0


KINDS = {
    "drain_servers": Kind(6, 14, until=0.75),
    "release": Kind(0, 2, until=0.5),
    "lose_server": Kind(1, 4, until=0.75),
    "hang_server": Kind(0, 2),
    "roughen_server": Kind(3, 8),
    "break_a_stream": Kind(8, 40),
    "break_a_dozen_streams": Kind(1, 4),
    "restart_a_proxy": Kind(4, 24),
    "restart_a_dozen_proxies": Kind(1, 3),
    "storm_of_restarts": Kind(1, 3, until=0.75),
    "terminate_manager": Kind(1, 3, until=0.75),
    "kill_manager": Kind(1, 2, until=0.75),
    "reload_manager": Kind(1, 2, until=0.75),
    "stop_manager": Kind(2, 5),
    "leave_a_call_in_doubt": Kind(6, 14),
    "break_news": Kind(0, 2, until=0.75),
    "reset_relay": Kind(0, 2),
    "silence_relay": Kind(0, 1, until=0.75),
    "refuse_relay": Kind(0, 2),
    "silence_agent": Kind(1, 3),
    "reset_agent": Kind(1, 4),
    "roughen_links": Kind(4, 8),
    "shift_demand": Kind(4, 14),
}


def draw_events(chance: Random, played_s, part=1.0):
    """In the order in which they come. `part`: of a whole day's events, for a shorter one."""
    events = []
    for kind, often in KINDS.items():
        for _ in range(round(part * chance.randint(often.least, often.most))):
            events.append(Event(chance.uniform(0.0, often.until * played_s), kind, chance.getrandbits(32)))
    return sorted(events, key=lambda event: event.at_s)

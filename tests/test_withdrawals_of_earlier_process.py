"""Withdrawals that proxies still hold from an earlier process of the manager must end once their servers are ready.

A manager withdrew three servers that had fallen silent, and was killed. They came back without a restart before its
successor had proxies, so no start time and no event showed the successor that they might be withdrawn. They were never
readmitted, and slices whose lines all named them had no server for as long as the proxies ran.
"""

import json
import signal
import unittest

from .peers import list_entry
from .release_case import SERVERS, SOCKET_ALLOWANCE_S, ReleaseCase
from .test_drain_crossings import Fleet

LOST = (1, 2, 3)  # numbers of the servers that are withdrawn
SERVER_COUNT = 12
EXCLUDED = (1, True, [list_entry(number) for number in range(1, SERVER_COUNT + 1) if number not in LOST])
INCLUDED = (1, True, [list_entry(number) for number in range(1, SERVER_COUNT + 1)])


def held_by_proxies(relay):
    """The servers that some proxy of the stand-in relay holds as withdrawn."""
    return set().union(*(member.withdrawn for member in relay.members.values()))


# The lost servers return (at once, or while the manager is down), the manager is killed (its successor's list has them
# or not), another server drains, or time passes.
STEPS = {
    "return": lambda fleet: (fleet.publish_ready(*LOST), fleet.run(0.002)),
    "return later": lambda fleet: fleet.discovery.loop.after(500_000, lambda: fleet.publish_ready(*LOST)),
    "kill, listed": lambda fleet: fleet.restart(INCLUDED),
    "kill, not listed": lambda fleet: fleet.restart(EXCLUDED),
    "drain": lambda fleet: (fleet.run(1), fleet.drain(4), fleet.run(1), fleet.publish_ready(4)),
    "wait": lambda fleet: fleet.run(2),
}
ORDERS_OF_EVENTS = [
    ("return", "kill, listed"),
    ("return later", "kill, not listed"),
    ("kill, not listed", "wait", "return"),
    ("kill, not listed", "return", "kill, listed"),
    ("kill, not listed", "drain", "return", "kill, listed"),
]


class WithdrawalsOfEarlierProcess(unittest.TestCase):
    def test_successor_readmits_servers_in_every_order_of_kill_and_return(self):
        for steps in ORDERS_OF_EVENTS:
            for is_whole in (False, True):  # the list drops the servers by a change or as a whole
                with self.subTest(steps=steps, is_whole=is_whole):
                    fleet = Fleet(servers=SERVER_COUNT)
                    if is_whole:
                        fleet.seq += 1
                        fleet.discovery.send_list(fleet.seq, True, *EXCLUDED[2])
                    else:
                        fleet.publish_state("left", *LOST)
                    fleet.run(1.5)
                    self.assertEqual(held_by_proxies(fleet.relay), {f"s-{number}" for number in LOST})
                    for step in steps:
                        STEPS[step](fleet)
                    fleet.run(2.6)
                    self.assertEqual(held_by_proxies(fleet.relay), set())


class WithdrawalsOfKilledProgram(ReleaseCase):
    slices, lines_per_s, max_queued_lines, grace_ms = 71, 8_300.0, 8_300.0, 2_000

    def test_silent_servers_that_return_while_the_program_is_down_are_readmitted(self):
        process = self.start_program_with_relay()
        names = {f"s-{number}" for number in LOST}
        self.publish(*(self.list_entry(number, "left") for number in LOST))
        self.wait_until(lambda: all(names <= member.withdrawn for member in self.relay.members.values()))
        process.send_signal(signal.SIGKILL)
        process.wait(2)
        self.relay.rejoin_all()
        remaining = [self.list_entry(number) for number in range(SERVERS) if number not in LOST]
        self.config["known"] = {"seq": 2, "whole": True, "hosts": remaining}
        self.write(self.config)
        returned = {"seq": 3, "whole": False, "hosts": [self.list_entry(number) for number in LOST]}
        self.discovery.lines = [json.dumps(returned)]
        self.start_program()
        self.wait_until(self.responds_to_ping)
        self.run_for(1.0 + self.config["settings"]["FamilyInfo"]["BlackholeS"] + SOCKET_ALLOWANCE_S)
        self.assertEqual(held_by_proxies(self.relay) & names, set())


if __name__ == "__main__":
    unittest.main()

"""Slices must keep a usable server while servers are restarted in place, a few at a time.

Three servers drained every 1.5 s and were ready again, cold, 4 s later. Most of them stayed withdrawn: a server was
readmitted only once no table gave it more weight than planned, and the tables were rewritten in another order. Tables
were written as planned although all servers that they named were still withdrawn, and then nothing more was due for
those slices. After 20 s, 29 of 30 servers were ready and withdrawn, and slices had no usable server for 13 s (2.3 s
allowed). In a run under fault injection:

    1796360541.32 counts ready_withdrawn=21
    1796360545.499 call share=23 restore=1 mark=59 queue_ms=602
    1796360549.791 call share=25 restore=1 admit=1 mark=67 queue_ms=1032
"""

from .peers import SECOND, Caller
from .release_case import SERVERS, SOCKET_ALLOWANCE_S, ReleaseCase
from .starvation import StarvationMeter

STEP_S, STEPS, SETTLE_STEPS = 0.1, 200, 70
GROUP, STEPS_PER_GROUP, STEPS_AWAY = 3, 15, 40  # servers that drain at a time
STEPS_PER_REPORT, STEPS_PER_DEMAND = 5, 40  # between reports; until the demand moves to other slices
LOW_DEMAND, HIGH_DEMAND, HIGH_EVERY = 4, 30, 8  # requests in half a second; one slice in HIGH_EVERY has the high one


class ServersRestartedInPlace(ReleaseCase):
    slices, lines_per_s, max_queued_lines, grace_ms = 84, 10_200.0, 30_600.0, 2_300

    def report_demand(self, step):
        """Report the demand of all slices, of which a part has a high one that moves on."""
        shift = step // STEPS_PER_DEMAND
        for table in self.relay.slices:
            count = HIGH_DEMAND if (table + shift) % HIGH_EVERY == 0 else LOW_DEMAND
            shard = {"msg": "SHARD", "partition": table, "kind": "order", "n": count, "bad": 0, "window": 500.0}
            self.collector.send(shard)

    def restart_servers(self, step):
        """Drain the next group of servers, or have the one that drained STEPS_AWAY ago return cold."""
        if step % STEPS_PER_GROUP == 0 and step < STEPS:
            numbers = self.group(step // STEPS_PER_GROUP)
            self.relay.mark_draining([f"s-{number}" for number in numbers])
            self.publish(*(self.list_entry(number, "leaving") for number in numbers))
        if step >= STEPS_AWAY and (step - STEPS_AWAY) % STEPS_PER_GROUP == 0 and step - STEPS_AWAY < STEPS:
            numbers = self.group((step - STEPS_AWAY) // STEPS_PER_GROUP)
            for number in numbers:
                self.relay.mark_ready(f"s-{number}")
            self.publish(*(self.list_entry(number, born_ms=self.now_ms()) for number in numbers))

    @staticmethod
    def group(index):
        """Return the numbers of the servers of the group; after the last server the first one follows."""
        return [(index * GROUP + place) % SERVERS for place in range(GROUP)]

    def test_slices_keep_a_usable_server_while_servers_restart_in_place(self):
        self.start_program_with_relay()
        self.collector = Caller(self.loop, self.listen_address, {"msg": "SOURCE", "az": "a"})
        self.run_for(STEP_S)
        starvation = StarvationMeter(self.relay)
        for step in range(STEPS + SETTLE_STEPS):
            self.restart_servers(step)
            if step % STEPS_PER_REPORT == 0:
                self.report_demand(step)
            self.run_for(STEP_S)
            starvation.sample()
        limit_s = self.config["settings"]["FamilyInfo"]["BlackholeS"] + SOCKET_ALLOWANCE_S
        self.assertLessEqual(starvation.longest_us / SECOND, limit_s, starvation.longest_pair)
        self.assertEqual(self.relay.late_pairs, set())
        self.assertLessEqual(self.relay.peak_waiting_lines, self.max_queued_lines)
        withdrawn = set().union(*(member.withdrawn for member in self.relay.members.values()))
        self.assertEqual(withdrawn & self.servers_in_tables(), set())

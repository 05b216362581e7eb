"""The program as a process with 30 servers, 150 proxies behind a channel, and a worker list that a test changes."""

import time

from ospreyrouter.web import Server

from .channel import ChannelRelay
from .peers import SECOND, StandInDiscovery, list_entry, make_settings
from .program_case import ProgramCase

SERVERS, PROXIES = 30, 150
SOCKET_ALLOWANCE_S = 0.3  # beside the limits of the settings


class ReleaseCase(ProgramCase):
    """Starts the program and its peers; all servers answer probes at one address.

    Subclasses set the number of slices, the channel's rate in lines per second, the lines that may wait in it, and the
    drain grace of the settings in milliseconds.
    """

    slices, lines_per_s, max_queued_lines, grace_ms = 78, 9_800.0, 28_700.0, 2_400

    def setUp(self):
        super().setUp()
        server = Server(self.loop, ("127.0.0.1", 0), lambda request: request.respond(200, body=b"{}"))
        self.worker_address = "{}:{}".format(*server.listener.address)
        self.config["settings"] = make_settings(
            slices=2 * self.slices, proxies=PROXIES, EgressPerS=self.lines_per_s, QueueCap=self.max_queued_lines
        )
        self.config["settings"]["Rules"]["DrainGraceS"] = self.grace_ms / 1000
        self.config["known"] = {
            "seq": 1,
            "whole": True,
            "hosts": [self.list_entry(number) for number in range(SERVERS)],
        }
        self.write(self.config)
        self.seq = 1

    def list_entry(self, number, state="active", born_ms=0):
        return list_entry(number, state, born_ms, self.worker_address)

    def publish(self, *entries):
        """Send a change of the list."""
        self.seq += 1
        self.discovery.send_list(self.seq, False, *entries)

    @staticmethod
    def now_ms():
        """Return the wall-clock time in milliseconds."""
        return time.time_ns() // 1_000_000

    def start_program_with_relay(self):
        """Start discovery, relay and program, and wait until it follows both; return the process."""
        self.discovery = StandInDiscovery(self.loop, self.discovery_address)
        slices = {table: {f"s-{table % SERVERS}": 1.0} for table in range(self.slices)}
        self.relay = ChannelRelay(
            self.loop,
            self.relay_address,
            setup=self.config["settings"]["FamilyInfo"],
            slices=slices,
            grace_us=int((self.grace_ms / 1000 + SOCKET_ALLOWANCE_S) * SECOND),
            proxies=range(PROXIES),
        )
        process = self.start_program()
        self.wait_until(lambda: self.relay.news_streams and self.discovery.streams)
        self.run_for(3.0)
        return process

    def servers_in_tables(self):
        """Return the names of all servers that a table names."""
        return {name for rows in self.relay.slices.values() for name in rows}

"""A stand-in for a plain proxy: follows the table files, chooses at random by weight, and tries again by retry policy.

It reads tables from the files only. The file agent of this package runs beside it, on the same loop.
"""

from collections import Counter, defaultdict

from ..files import FileAgent, TableReader
from ..xds.reports import load_stats_request
from .forwarder import Forwarder


class Proxy(Forwarder):
    """A proxy with its file agent. `folder` has the table files, `seed` distinguishes its processes."""

    def __init__(self, loop, setup, name, folder, address, journal, log, seed, calls):
        self.journal, self.proxy_config = journal, next(entry for entry in setup.proxies if entry.name == name)
        self.reader = TableReader(folder)
        self.reader.poll()
        self.pending_tries = Counter()  # by (slice, worker)
        # By manager: tries by worker, demand by (slice, class), and when both were last reported.
        self.try_sums, self.demand_sums, self.reported_us = defaultdict(dict), defaultdict(dict), {}
        super().__init__(loop, setup, name, address, seed)
        self.agent = FileAgent(loop, setup, self.proxy_config, folder, calls, log, self.reload, self.load_stats, seed)
        self.sequence, self.incarnation = 0, f"{seed}"
        self.original_addresses = dict(self.agent.manager_addresses)

    def reload(self):
        """Read the table files; returns the reason if they were rejected, None otherwise."""
        rejected = self.reader.counts["bad sets"]
        self.reader.poll()
        self.release()
        return self.reader.last_error if self.reader.counts["bad sets"] > rejected else None

    def control(self, command, **arguments):
        """Carry out a control command; raises ValueError if it is unknown.

        "lose" with `manager` and `on`: connections to that manager fail, or work again. "slow" with `us`: the agent
        delays its answers to pushes.
        """
        if command == "lose":
            self.agent.manager_addresses[arguments["manager"]] = (
                ("127.0.0.1", 9) if arguments["on"] else self.original_addresses[arguments["manager"]]
            )
            client = self.agent.manager_streams[arguments["manager"]].client
            if arguments["on"] and client is not None:
                client.abort("lost")
        elif command == "slow":
            self.agent.answer_delay_us = arguments["us"]
        else:
            raise ValueError(f"unknown trouble of a proxy: {command}")

    def usable_lines(self, slice_index):
        """The lines of a slice whose workers are not withheld."""
        entry = self.reader.tables.get(slice_index)
        return [line for line in entry[0].lines if line.worker not in entry[1]] if entry else []

    def admission_level(self, slice_index, class_name):
        """The admission level of a class in a slice, from 0 to 1; 1 if the files have none."""
        entry = self.reader.tables.get(slice_index)
        return entry[2].get(class_name, 1.0) if entry else 1.0

    def retry_policy(self, slice_index, class_name):
        """The retry policy set by the manager in charge of the slice, or that of the deployment file."""
        return self.reader.levels.get(self.agent.owner(slice_index), {}).get(class_name, (1.0, self.setup.retry))[1]

    # Demand by (slice, class) is a list of transactions that arrived, were lost and were refused.

    def record_demand(self, slice_index, class_name):
        """Count an arrived transaction."""
        self.demand_sums[self.agent.owner(slice_index)].setdefault((slice_index, class_name), [0, 0, 0])[0] += 1

    def record_refusal(self, slice_index, class_name):
        """Count a transaction that was refused by the admission level."""
        self.demand_sums[self.agent.owner(slice_index)].setdefault((slice_index, class_name), [0, 0, 0])[2] += 1

    def record_loss(self, slice_index, class_name):
        """Count a transaction that failed after its last try."""
        self.demand_sums[self.agent.owner(slice_index)].setdefault((slice_index, class_name), [0, 0, 0])[1] += 1

    def record_try_start(self, slice_index, worker):
        """Count a try as pending."""
        self.pending_tries[slice_index, worker] += 1

    def record_try_end(self, slice_index, worker, succeeded, took_us, report):
        """Add a finished try: tries, failures, total time of successful ones in us, and the worker's ORCA metrics."""
        self.pending_tries[slice_index, worker] -= 1
        if not self.pending_tries[slice_index, worker]:
            del self.pending_tries[slice_index, worker]
        sums = self.try_sums[self.agent.owner(slice_index)].setdefault(worker, [0, 0, 0.0, {}])
        sums[0] += 1
        sums[1] += not succeeded
        sums[2] += took_us if succeeded else 0
        sums[3].update(report)

    def load_stats(self, manager):
        """A LoadStatsRequest with tries and demand since the last call, for the slices of `manager`."""
        now = self.loop.now()
        span_us = now - self.reported_us.get(manager, now)
        self.reported_us[manager] = now
        tries, demand = self.try_sums.pop(manager, {}), self.demand_sums.pop(manager, {})
        self.sequence += 1
        pending = Counter()
        for (slice_index, worker), count in self.pending_tries.items():
            if self.agent.owner(slice_index) == manager:
                pending[worker] += count
        return load_stats_request(
            self.name,
            self.proxy_config.zone,
            tries,
            demand,
            max(1, span_us),
            self.incarnation,
            self.sequence,
            now,
            pending,
        )

    def close(self):
        """Close the file agent."""
        self.agent.close()

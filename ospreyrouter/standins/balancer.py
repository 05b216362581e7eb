"""Stand-ins for load balancers that read no files: each registers all workers for every slice by SASP and forwards real
traffic by the weights that it receives. They admit everything, and try again only where a try was not executed.
"""

from collections import namedtuple

from ..client import SaspFollower
from .forwarder import Forwarder

Target = namedtuple("Target", "worker host port weight")


class Balancer(Forwarder):
    """A balancer that gets its weights from all managers by SASP.

    It counts as joined to a manager while it is registered there. Its journal rows are `joined_manager`,
    `left_manager` and `bare`, as for a proxy.
    """

    def __init__(self, loop, setup, name, address, specs, journal, seed):
        super().__init__(loop, setup, name, address, seed)
        self.journal, self.registered_at, self.empty_slices = journal, set(), None
        self.follower = RegistrationFollower(
            self,
            loop,
            [manager.sasp.pair for manager in setup.managers],
            name,
            {slice_index: [(spec.host, spec.port) for spec in specs] for slice_index in range(setup.slices)},
            seed,
            [manager.listen.pair for manager in setup.managers],
        )
        self.follower.subscribe(self._weights_changed)

    def _weights_changed(self, slice_index, weights):
        empty = sorted(slice_index for slice_index in self.follower.tables if not self.follower.weights(slice_index))
        if empty != self.empty_slices:
            self.empty_slices = empty
            self.journal.write("bare", proxy=self.name, slices=empty, of=len(self.follower.tables))
        self.release()

    def set_registered(self, manager_index, registered):
        """Record whether the balancer is registered at a manager."""
        if registered != (manager_index in self.registered_at):
            (self.registered_at.add if registered else self.registered_at.discard)(manager_index)
            self.journal.write(
                "joined_manager" if registered else "left_manager",
                proxy=self.name,
                manager=self.setup.managers[manager_index].name,
            )

    def usable_lines(self, slice_index):
        """The lines of a slice as a list of Target."""
        return [
            Target(f"{host}:{port}", host, port, weight)
            for (host, port), weight in sorted(self.follower.weights(slice_index).items())
        ]

    def admission_level(self, slice_index, class_name):
        """Always 1: SASP has no admission levels."""
        return 1.0

    def retry_policy(self, slice_index, class_name):
        """Always "proven": one more try, and only if the first was not executed."""
        return "proven"

    def record_demand(self, slice_index, class_name):
        pass  # SASP has no message that reports demand

    record_loss = record_refusal = record_demand

    def record_try_start(self, slice_index, worker):
        pass  # SASP has no message that reports tries

    def record_try_end(self, slice_index, worker, succeeded, took_us, report):
        pass  # SASP has no message that reports tries

    def set_paused(self, paused):
        """Stop or resume reading from the connections to managers."""
        for connection in self.follower.connections:
            if connection.stream is not None:
                (connection.stream.pause if paused else connection.stream.resume)()


class RegistrationFollower(SaspFollower):
    """A SASP client that reports to its balancer at which managers it is registered."""

    def __init__(self, balancer, *values):
        self.balancer = balancer
        super().__init__(*values)

    def _apply_weights(self, manager_index, groups):
        self.balancer.set_registered(manager_index, True)
        super()._apply_weights(manager_index, groups)

    def _disconnected(self, manager_index, connection):
        self.balancer.set_registered(manager_index, False)
        super()._disconnected(manager_index, connection)


class Balancers:
    """All balancers of a day in one process."""

    def __init__(self, loop, setup, specs, addresses, journal, seed):
        self.balancers = [
            Balancer(loop, setup, f"balancer-{k}", address, specs, journal, seed) for k, address in enumerate(addresses)
        ]

    def control(self, command, **arguments):
        """Carry out "deaf" with `balancer`, an index, and `on`; raises ValueError for any other command."""
        if command != "deaf":
            raise ValueError(f"unknown trouble of balancers: {command}")
        self.balancers[arguments["balancer"]].set_paused(arguments["on"])

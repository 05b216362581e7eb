"""How much load a cold worker may get. No I/O and no state.

A part of the reported demand is not enough as a limit: one wrong report can raise that. So the load is limited by what
the worker can carry as well, of which there are two estimates that hold whatever demand is reported: its part of the
traffic that proxies usually send, which the fleet is able to carry, and the capacity that workers show in their load
reports.

Loads are in tries per window, for the slices of this manager, and include the tries that the levels refuse.
"""

from dataclasses import dataclass

MAX_OVERLOAD_PART = 0.5  # of the load that makes a cold worker fail


@dataclass(frozen=True)
class FleetLoad:
    """What the ready workers have to carry, and what they can.

    `weight`: their listed weights in total. `demand`: the reported demand. `usual_demand`: what proxies usually send,
    None if unknown. `measured_capacity`: of a warm worker of weight 1, None if unknown. `overload_multiple`: the
    multiple of its present capacity at which a cold worker fails.
    """

    weight: float
    demand: float
    usual_demand: float | None
    measured_capacity: float | None
    overload_multiple: float

    @property
    def overload_margin(self):
        """Multiple of its capacity that a cold worker may get at most."""
        return MAX_OVERLOAD_PART * self.overload_multiple

    @property
    def believed_demand(self):
        """The reported demand, as far as a fleet that carries the usual demand can serve it."""
        if self.usual_demand is None:
            return self.demand
        return min(self.demand, self.overload_margin * self.usual_demand)

    def max_cold_load(self, weight, warmth):
        """The load that a cold worker must not exceed: part of the load that makes it fail in a fully loaded fleet."""
        demands = [self.demand] if self.usual_demand is None else [self.demand, self.usual_demand]
        return self.overload_margin * warmth * min(min(demands) * weight / self.weight, self._measured(weight))

    def planned_cold_load(self, weight, warmth, answered_share):
        """The load that a cold worker is planned for: its part of what the fleet answers, if it can carry that.

        Repeats and the reduced health of other workers raise the demand of each worker. They must not raise this.
        """
        part = warmth * weight / self.weight * self.demand * answered_share
        return min(part, warmth * self._measured(weight), self.max_cold_load(weight, warmth))

    def _measured(self, weight):
        return float("inf") if self.measured_capacity is None else self.measured_capacity * weight

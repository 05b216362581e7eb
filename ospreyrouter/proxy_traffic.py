"""What the proxies of a deployment usually send, and which reports are possible by that. No I/O.

Proxies state their usual rate when they join, so no report of a collector or a worker can change it. Times are whole
microseconds.
"""


class ProxyTraffic:
    """The usual rates of all proxies that have joined so far, including those that have left since."""

    def __init__(self, setup):
        self.setup, self.rates, self.total_rate = setup, {}, 0.0

    def record_rate(self, proxy, rate):
        """A proxy states that it usually sends `rate` tries per second; 0 if that is not known."""
        self.total_rate += rate - self.rates.pop(proxy, 0.0)
        if rate > 0:
            self.rates[proxy] = rate

    @property
    def tries_per_s(self):
        """Tries per second of all proxies of the deployment, None if no proxy has stated its rate.

        Proxies that have not joined yet are taken to send as much as the others. Without slices each proxy joins one
        manager, so only those that joined this one count.
        """
        if not self.rates:
            return None
        count = max(len(self.rates), self.setup.proxy_count if self.setup.slice_count else 0)
        return self.total_rate / len(self.rates) * count

    def owned_tries(self, owned_count, span_us):
        """Tries within `span_us` for `owned_count` slices, None if no proxy has stated its rate."""
        rate = self.tries_per_s
        return None if rate is None else rate * owned_count / (self.setup.slice_count or 1) * span_us / 1_000_000

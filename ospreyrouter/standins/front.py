"""The stand-in front layer: distributes clients over the proxies of their site, and detects dead proxies with a delay.

    front = Front(loop, proxies, notice_us)          # proxies: [(name, site, address)]
    name, proxy_site, address = front.pick(rng, site)
    front.record_attempt(name, reached)              # whether a try got an answer of any kind

A proxy that cannot be reached gets transactions for another `notice_us` after the first failed try. Then it gets none
until a connection to it succeeds, which is tried every CHECK_INTERVAL_US. The clients of a site without a usable proxy
are distributed over all other proxies.
"""

CHECK_INTERVAL_US, CHECK_TIMEOUT_US = 500_000, 300_000


class Front:
    """The front layer of all sites; see the top of this module."""

    def __init__(self, loop, proxies, notice_us):
        self.loop, self.proxies, self.notice_us = loop, proxies, notice_us
        self.failing_since_us, self.down = {}, set()

    def pick(self, rng, site, avoided_site=None):
        """A random proxy of a site as (name, site, address).

        With `avoided_site`, a proxy of any other site; for clients that try elsewhere after a failed connection.
        """
        up = [proxy for proxy in self.proxies if proxy[0] not in self.down] or self.proxies
        preferred = (
            [proxy for proxy in up if proxy[1] != avoided_site]
            if avoided_site is not None
            else [proxy for proxy in up if proxy[1] == site]
        )
        name, proxy_site, address = rng.choice(preferred or up)
        return name, proxy_site, address

    def record_attempt(self, name, reached):
        """Record whether a try reached a proxy; one that fails for `notice_us` is taken out."""
        if reached:
            self.failing_since_us.pop(name, None)
        elif (
            name not in self.down
            and self.loop.now() - self.failing_since_us.setdefault(name, self.loop.now()) >= self.notice_us
        ):
            self.down.add(name)
            self._check(name)

    def _check(self, name):
        address = next(proxy[2] for proxy in self.proxies if proxy[0] == name)

        def connected(stream, reason):
            if stream is None:
                self.loop.after(CHECK_INTERVAL_US, lambda: self._check(name))
                return
            stream.start(None, None)
            stream.close()
            self.down.discard(name)
            self.failing_since_us.pop(name, None)

        self.loop.connect(address, CHECK_TIMEOUT_US, connected)

"""The stand-in front layer: spreads clients over the proxies of their site, and learns late which of them are dead.

    front = Front(loop, proxies, notice_us)          # proxies: [(name, site, address)]
    name, at_site, address = front.pick(chance, site)
    front.told(name, reached)                        # whether a try got an answer of any kind

A proxy that cannot be reached is still sent to for `notice_us` after the first try that failed; then no longer, until a
connection made every CHECK_US succeeds. A site without a proxy left has its clients sent to all others'.
"""

CHECK_US, CHECK_MOST_US = 500_000, 300_000


class Front:
    def __init__(self, loop, proxies, notice_us):
        self.loop, self.proxies, self.notice_us = loop, proxies, notice_us
        self.failing, self.down = {}, set()

    def pick(self, chance, site, but=None):
        """`but`: a site where this client could not connect, for clients that then try elsewhere."""
        up = [row for row in self.proxies if row[0] not in self.down] or self.proxies
        wanted = [row for row in up if row[1] != but] if but is not None else [row for row in up if row[1] == site]
        name, at, address = chance.choice(wanted or up)
        return name, at, address

    def told(self, name, reached):
        if reached:
            self.failing.pop(name, None)
        elif (
            name not in self.down and self.loop.now() - self.failing.setdefault(name, self.loop.now()) >= self.notice_us
        ):
            self.down.add(name)
            self._check(name)

    def _check(self, name):
        address = next(row[2] for row in self.proxies if row[0] == name)

        def done(stream, reason):
            if stream is None:
                self.loop.after(CHECK_US, lambda: self._check(name))
                return
            stream.start(None, None)
            stream.close()
            self.down.discard(name)
            self.failing.pop(name, None)

        self.loop.connect(address, CHECK_MOST_US, done)

"""A manager that has just started hears of its proxies a few at a time, while the relay has them all already: what it
orders goes to all of them. It counted each message for those it had heard of, so several that each fitted overfilled
the channel together: 50,543 lines waited where 50,000 were allowed, on a day on which most managers were killed.
"""

import unittest

from .channel import ChannelRelay
from .peers import SECOND, Scene, row, settings

PROXIES, SLICES, WORKERS = 300, 120, 60
PACE, QUEUE = 12_000.0, 24_000.0


class LateNews(ChannelRelay):
    """Proxies of `join_untold` have joined; the manager hears of them as `tell` is called."""

    untold = ()

    def join_untold(self, proxies):
        told, self.untold = list(self.proxies), list(proxies)
        for proxy in self.untold:
            self._member(proxy)
        self.proxies = told

    def tell(self, count):
        for _ in range(min(count, len(self.untold))):
            proxy = self.untold.pop(0)
            self.proxies.append(proxy)
            self.say(f"* SUBSCRIBE {proxy} a 5.0 0")


class ChannelLimit(unittest.TestCase):
    def test_what_is_ordered_while_proxies_are_still_being_told_of_does_not_overfill_the_channel(self):
        for at_once, pause_s in ((10, 0.005), (20, 0.02), (30, 0.05)):
            with self.subTest(at_once=at_once, pause_s=pause_s):
                self.assertLessEqual(self.most_waiting(at_once, pause_s), QUEUE)

    def most_waiting(self, at_once, pause_s):
        config = settings(2 * SLICES, PROXIES, EgressPerS=PACE, QueueCap=QUEUE)
        tables = {table: {f"s-{1 + table % WORKERS}": 1.0} for table in range(SLICES)}
        known = (1, True, [row(number, "leaving" if number <= 20 else "active") for number in range(1, WORKERS + 1)])
        scene = Scene(
            workers=WORKERS,
            known=known,
            more=config,
            relay_type=LateNews,
            setup=config["FamilyInfo"],
            slices=tables,
            grace_us=2 * SECOND,
            proxies=range(at_once),
        )
        scene.run(0.2)
        scene.relay.join_untold(range(at_once, PROXIES))
        for step in range(PROXIES // at_once):
            scene.relay.tell(at_once)
            if step % 4 == 0:
                drained = 21 + step // 4
                scene.discovery.say(2 + step, False, row(drained, "leaving"))
            scene.run(pause_s)
        scene.run(3)
        self.assertFalse(scene.relay.untold)
        return scene.relay.most_waiting


if __name__ == "__main__":
    unittest.main()

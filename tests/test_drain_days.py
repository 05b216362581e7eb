"""Some of the drawn days of `drain_days`; more of them are played by hand, `python -m tests.drain_days 200`."""

import unittest

from .drain_days import DrainDay, Returns


class DrainDays(unittest.TestCase):
    def test_days_keep_drains_and_queue(self):
        # 14 and 362 broke the queue, 38 a drain: a call in doubt was repeated when more proxies had come than it was
        # counted for, and withdrawals were said again with each handful.
        self.kept(0, 1, 14, 17, 21, 23, 38, 362)

    def test_days_on_which_small_messages_crowd_out_what_is_due(self):
        # 5133 broke a drain, 6005 and 6064 the queue: whatever was due made a message of its own behind those that
        # still waited in the channel, and most of what waited there was heads.
        self.kept(5133, 6005, 6064)

    def kept(self, *seeds):
        for seed in seeds:
            for returns in Returns:
                with self.subTest(seed=seed, returns=returns.value):
                    self.assertEqual(DrainDay(seed, returns).play(), [])

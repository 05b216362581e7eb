"""Plays some of the drawn days of `deploy_days`; `python -m tests.deploy_days 200` plays more of them."""

import unittest

from .deploy_days import DeployDay


class DeployDayTest(unittest.TestCase):
    def test_repeats_for_restarting_proxies_do_not_keep_lost_servers_in_the_tables(self):
        # 19.91, 6.95 and 7.25 s without a server of the 2.6 s that are allowed; 410, 114 and 203 late drains.
        for seed in (2, 20, 24):
            with self.subTest(seed=seed):
                self.assertEqual(DeployDay(seed).play(), [])

    def test_lines_that_have_left_do_not_keep_a_short_queue_full_while_proxies_restart(self):
        # 15.10, 8.65 and 3.10 s without a server of the 2.6 s that are allowed; 135 and 133 late drains.
        for seed in (45, 54, 28):
            with self.subTest(seed=seed):
                self.assertEqual(DeployDay(seed).play(), [])


if __name__ == "__main__":
    unittest.main()

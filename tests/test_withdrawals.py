"""What a proxy is known to hold when its stream has broken and it comes back, and what is said again to all for its sake."""

import unittest

from tests.helper import deployment

from ospreyrouter.withdrawals import Withdrawals

OUT, BACK = 1, 2  # workers


class ComesBack(unittest.TestCase):
    def setUp(self):
        self.state, self.now = Withdrawals(deployment()), 0

    def join(self, proxy=0, fresh=False, restarted=()):
        self.state.proxy_joined(self.now, proxy, fresh, set(restarted))

    def order(self, out=(), back=(), answered=False):
        self.state.ordered(self.now, list(out), list(back))
        if answered:
            self.state.answered(0, self.state.messages)

    def test_what_it_answered_is_not_said_again(self):
        self.join(fresh=True)
        self.order([OUT], answered=True)
        for _ in range(3):
            self.order([OUT])  # a repeat for somebody else; it may miss that
            self.join()
            self.assertEqual((self.state.missed, self.state.known), ({}, {OUT}))

    def test_what_it_had_not_answered_is_missed_until_it_answers_a_repeat(self):
        self.join(fresh=True)
        self.order([OUT])
        self.join()
        self.assertEqual(set(self.state.missed), {OUT})
        self.order(answered=True)  # something else that came after, on the new stream
        self.join()
        self.assertEqual(set(self.state.missed), {OUT})
        self.order([OUT], answered=True)
        self.join()
        self.assertEqual(self.state.missed, {})

    def test_a_restart_forgets_all(self):
        self.join(fresh=True)
        self.order([OUT], answered=True)
        self.join(fresh=True)
        self.assertEqual((set(self.state.missed), self.state.doubted), ({OUT}, set()))

    def test_a_worker_let_in_while_it_was_away_is_let_in_once_more(self):
        self.join(fresh=True)
        self.order([BACK], answered=True)
        self.order(back=[BACK])
        self.join()
        self.assertEqual(self.state.doubted, {BACK})
        self.order(back=[BACK], answered=True)
        self.join()
        self.assertEqual(self.state.doubted, set())

    def test_who_was_let_in_before_a_restart_is_not_in_doubt_after_it(self):
        self.join(fresh=True)
        self.order([BACK])
        self.order(back=[BACK])
        self.join(fresh=True)
        self.join()
        self.assertEqual(self.state.doubted, set())

    def test_what_an_earlier_life_of_the_manager_withdrew_is_let_in_once(self):
        self.join(restarted=[BACK])
        self.state.came_back(self.now, OUT)  # away when this life began
        self.assertEqual(self.state.doubted, {BACK, OUT})
        self.order(back=[BACK, OUT], answered=True)
        self.join(restarted=[BACK, OUT])
        self.state.came_back(self.now, OUT)
        self.assertEqual(self.state.doubted, set())

    def test_where_all_proxies_began_with_this_life_nobody_is_in_doubt(self):
        self.join(fresh=True)
        self.state.came_back(self.now, OUT)
        self.assertEqual(self.state.doubted, set())

    def test_a_worker_forgotten_while_withdrawn_is_let_in_when_it_comes_again(self):
        self.join(fresh=True)
        self.order([OUT], answered=True)
        self.state.forget(OUT)
        self.state.came_back(self.now, OUT)
        self.assertEqual(self.state.doubted, {OUT})


if __name__ == "__main__":
    unittest.main()

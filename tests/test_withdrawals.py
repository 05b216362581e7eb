"""Which orders a proxy is known to hold when it joins again after its stream broke, and which are repeated for it."""

import unittest

from ospreyrouter.withdrawals import Withdrawals
from tests.manager_harness import deployment

WORKER = 1
# Name, events for one proxy and one worker, whether the withdrawal counts as missed, whether it counts as stale.
# Events: "start" (the proxy joins, started anew), "join" (it joins again after its stream broke), "out", "back", "else"
# (a message withdraws the worker, readmits it, carries something else), "returns" (the list has the worker as ready
# again), "forget" (the manager forgets the worker), "lost" (news were lost). With "!" the proxy acknowledges the
# message.
CASES = [
    ("holds what it acknowledged", "start out! join", False, False),
    ("repeats for another proxy that did not reach it", "start out! join out join out join", False, False),
    ("missed what it did not acknowledge", "start out join", True, False),
    ("acknowledgement of a later message on a later stream", "start out join else! join", True, False),
    ("acknowledgement of a repeat", "start out join else! join out! join", False, False),
    ("started anew and holds nothing", "start out! start", True, False),
    ("readmitted while it was away", "start out! back join", False, True),
    ("readmission repeated", "start out! back join back! join", False, False),
    ("readmitted and withdrawn again before it was started anew", "start out! back! out! start", True, False),
    ("readmitted before it was started anew", "start out back start join", False, False),
    ("withdrawn by an earlier process", "join", False, True),
    ("withdrawn by an earlier process, readmitted once", "join back! join returns", False, False),
    ("worker not ready when this process began", "join else! returns", False, True),
    ("all proxies began with this process", "start returns", False, False),
    ("on the same stream as before, after news were lost", "start out! back lost start", False, True),
    ("worker forgotten while withdrawn", "start out! forget returns", False, True),
    ("worker forgotten after a readmission that was missed", "start out! back forget join returns", False, True),
]


class ProxyRejoinTest(unittest.TestCase):
    def test_missed_and_stale_withdrawals(self):
        for name, events, missed, stale in CASES:
            with self.subTest(name):
                withdrawals = Withdrawals(deployment())
                for event in events.split():
                    self.apply_event(withdrawals, event)
                    withdrawals.add_unknown(0, {WORKER} - withdrawals.withdrawn)
                self.assertEqual((WORKER in withdrawals.missed_since, WORKER in withdrawals.stale), (missed, stale))

    @staticmethod
    def apply_event(withdrawals, event):
        name = event.rstrip("!")
        if name in ("start", "join"):
            withdrawals.record_proxy_join(0, 0, name == "start")
        elif name == "returns":
            withdrawals.worker_ready(0, WORKER)
        elif name == "lost":
            withdrawals.mark_all_unverified()
        elif name == "forget":
            withdrawals.forget(WORKER)
        else:
            withdrawals.record_orders(0, [WORKER] * (name == "out"), [WORKER] * (name == "back"))
        if event.endswith("!"):
            withdrawals.acknowledge(0, withdrawals.message_count)


if __name__ == "__main__":
    unittest.main()

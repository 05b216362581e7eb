"""A slice with a single owner: its writes are never at two servers while it gets another owner."""

import unittest

from ospreyrouter.interface import LevelKind

from .manager_harness import DRAINING, GONE, READY, SECOND, ManagerHarness, entry

IN_FLIGHT_S, LEASE_S = 4.0, 2.5
SLICE, OWNER = 1, 1  # this slice is at this server at first
ROUND_S = 0.1
MAX_DELAY_S = 1.0  # the next owner is named no later than this after it may be


class OwnerHandoverTest(unittest.TestCase):
    """One server of four is lost; the next owner of its slices is named only when no write can be at it any more."""

    def setUp(self):
        self.harness = ManagerHarness(single_owner=True, lease_us=int(LEASE_S * SECOND), max_in_flight_us=4 * SECOND)
        self.silent, manager = set(), self.harness.manager
        acknowledge = manager.mark_acknowledged
        manager.mark_acknowledged = lambda proxy, *values: proxy in self.silent or acknowledge(proxy, *values)
        self.run_for(6.0)

    def run_for(self, seconds):
        """Play rounds, until the slice gets another owner; returns after how many seconds it does, or None."""
        for step in range(1, round(seconds / ROUND_S) + 1):
            self.harness.round(after=ROUND_S)
            if self.owners() - {OWNER}:
                return step * ROUND_S
        return None

    def owners(self):
        """The servers in the table of the slice."""
        return {worker for worker, weight in self.harness.recorded.tables.get(SLICE, {}).items() if weight}

    def lose_owner(self, state=DRAINING):
        """The list has the owner in this state."""
        self.harness.round(("worker_list_received", False, [entry(OWNER, state)]))

    def level(self):
        """The last level that was ordered for the slice."""
        return [level for table, _, level, _ in self.harness.recorded.named("set_level") if table == SLICE][-1]

    def assert_named_after(self, seconds):
        """The next owner is named after this time and not long after it, and its proxies refuse nothing then."""
        self.assertEqual(self.level(), 0.0)
        named_s = self.run_for(seconds + MAX_DELAY_S)
        self.assertIsNotNone(named_s)
        self.assertGreaterEqual(named_s + 1e-6, seconds)
        self.harness.round(after=ROUND_S)
        self.assertEqual((self.level(), len(self.owners() - {OWNER})), (1.0, 1))

    def test_the_next_owner_waits_for_writes_in_flight_whether_the_former_drains_or_crashes(self):
        for state in (DRAINING, GONE):
            with self.subTest(state=state):
                self.setUp()
                self.lose_owner(state)
                self.assertEqual(self.harness.recorded.named("set_withheld"), [(OWNER, True)])
                self.assert_named_after(IN_FLIGHT_S - ROUND_S)

    def test_the_next_owner_waits_for_a_mark_that_is_late_or_lost(self):
        self.silent.add(2)
        self.lose_owner()
        self.assertIsNone(self.run_for(8.0))
        self.silent.clear()
        self.assert_named_after(IN_FLIGHT_S)

    def test_the_next_owner_waits_for_the_lease_of_a_proxy_that_is_away(self):
        self.silent.add(2)
        self.lose_owner()
        self.assertIsNone(self.run_for(1.0))
        self.harness.round(("proxy_left", 2))
        self.assert_named_after(LEASE_S + IN_FLIGHT_S)

    def test_the_next_owner_waits_for_a_proxy_that_joins_meanwhile(self):
        self.lose_owner()
        self.assertIsNone(self.run_for(2.0))
        self.silent.add(3)
        self.harness.round(("proxy_left", 3), ("proxy_joined", 3, 0, 80.0, True))
        self.assertIsNone(self.run_for(4.0))
        self.silent.clear()
        self.assert_named_after(IN_FLIGHT_S)

    def test_a_manager_that_takes_over_waits_for_the_lease_and_for_writes_in_flight(self):
        self.lose_owner()
        self.assertIsNone(self.run_for(1.0))
        self.harness.round(
            ("slice_ownership_changed", SLICE, False),
            ("slice_ownership_changed", SLICE, True),
            ("table_line_loaded", SLICE, OWNER, 1.0),
        )
        self.assert_named_after(LEASE_S + IN_FLIGHT_S)

    def test_an_owner_that_returns_in_time_keeps_its_slices(self):
        self.lose_owner()
        self.assertIsNone(self.run_for(2.0))
        self.lose_owner(READY)
        self.assertIsNone(self.run_for(8.0))
        self.assertEqual(self.level(), 1.0)
        self.assertEqual(self.harness.recorded.named("set_withheld"), [(OWNER, True), (OWNER, False)])

    def test_a_proxy_that_missed_the_end_of_a_handover_is_told_when_it_joins_again(self):
        self.lose_owner()
        self.assertIsNone(self.run_for(1.0))
        self.harness.round(("proxy_left", 2))
        self.assert_named_after(LEASE_S + IN_FLIGHT_S)
        count = len(self.harness.recorded.named("set_level"))
        self.harness.round(("proxy_joined", 2, 0, 80.0, False))
        self.harness.run(2)
        again = [(table, level) for table, _, level, _ in self.harness.recorded.named("set_level")[count:]]
        self.assertIn((SLICE, 1.0), again)

    def test_deployments_without_single_owners_get_no_levels_of_slices(self):
        for changes in ({}, {"single_owner": True, "level_kind": LevelKind.NONE}):
            harness = ManagerHarness(**changes)
            harness.run(2)
            harness.round(("worker_list_received", False, [entry(OWNER, DRAINING)]))
            harness.run(8)
            self.assertEqual({table for table, *_ in harness.recorded.named("set_level")} - {65535}, set())


if __name__ == "__main__":
    unittest.main()

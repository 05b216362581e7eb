"""Slices stay served while their tables change and servers are readmitted."""

import unittest

from ospreyrouter.coverage import plan_readmission, safe_target

from .manager_harness import ManagerHarness


class SafeTargetTest(unittest.TestCase):
    def test_usable_lines_stay_until_usable_servers_have_half_of_the_planned_weight(self):
        cases = [
            ("all planned servers are withdrawn", {1: 1.0}, {2: 1.0, 3: 0.01}, {1}, {1: 1.0, 2: 1.0, 3: 0.01}),
            ("the lingering one is usable", {1: 1.0}, {2: 1.0, 3: 0.01}, {1, 3}, {1: 1.0, 2: 1.0, 3: 0.01}),
            ("a weight is not reduced either", {1: 1.0}, {1: 0.1, 2: 0.9}, {1}, {1: 1.0, 2: 0.9}),
            ("half of the weight is usable", {1: 1.0}, {2: 0.5, 3: 0.5}, {1, 2}, {2: 0.5, 3: 0.5}),
            ("nothing usable to keep", {1: 1.0}, {2: 1.0}, {4}, {2: 1.0}),
        ]
        for reason, table, target, usable, expected in cases:
            with self.subTest(reason):
                self.assertEqual(safe_target(table, target, usable), expected)


class ReadmissionTest(unittest.TestCase):
    TABLES = {0: {1: 1.0, 9: 0.01}, 1: {1: 1.0, 2: 1.0}, 2: {1: 0.01, 2: 1.0}}
    TARGETS = {0: {1: 0.25, 2: 0.75}, 1: {2: 1.0}, 2: {1: 0.01, 2: 1.0}}
    DEMAND = {0: 10.0, 1: 10.0, 2: 10.0}

    def lines(self, max_load):
        readmission = plan_readmission(1, self.TABLES, self.TARGETS, {2}, self.DEMAND, max_load)
        return [(line.table, line.server, line.weight) for line in readmission.lines]

    def test_lines_reduce_the_load_only_as_far_as_necessary_the_heaviest_tables_first(self):
        self.assertEqual(self.lines(20.0), [])
        self.assertEqual(self.lines(8.0), [(0, 2, 0.75), (0, 1, 0.25)])
        self.assertEqual(self.lines(3.0), [(0, 2, 0.75), (0, 1, 0.25), (1, 1, 0.0)])

    def test_a_server_is_readmitted_with_its_planned_load_if_that_is_more_than_the_limit(self):
        self.assertEqual(self.lines(0.0), [(0, 2, 0.75), (0, 1, 0.25), (1, 1, 0.0)])


class WithdrawnPlanTest(unittest.TestCase):
    def test_a_table_that_is_as_planned_is_urgent_if_all_of_its_servers_are_withdrawn(self):
        harness = ManagerHarness(workers=4)
        manager = harness.manager
        manager.withdrawals.record_orders(harness.now, [0], [])
        manager.layout[0], manager.tables[0], manager.lingering[0] = {0: 1.0}, {0: 1.0}, None
        pending = manager.pending_updates(manager.capacities())
        change = pending.table_changes[0]
        self.assertEqual((change.table, change.can_wait), (0, False))
        self.assertTrue(manager.next_table(change, pending).keys() & pending.usable)


if __name__ == "__main__":
    unittest.main()

"""The dealing out of rows to columns: as cheap as any order of them, and a permutation."""

import unittest
from itertools import permutations
from random import Random

from ospreyrouter.assign import assign


class Assign(unittest.TestCase):
    def test_no_dealing_is_cheaper(self):
        chance = Random(5)
        for _ in range(300):
            size = chance.randint(0, 6)
            costs = [
                [chance.choice((0, 1, 2, 3, 7)) - 0.5 * (row == column) for column in range(size)]
                for row in range(size)
            ]
            dealt = assign(costs)
            self.assertEqual(sorted(dealt), list(range(size)))
            cheapest = min(
                sum(costs[row][column] for row, column in enumerate(way)) for way in permutations(range(size))
            )
            self.assertAlmostEqual(sum(costs[row][column] for row, column in enumerate(dealt)), cheapest)

    def test_what_stands_stays_where_nothing_is_gained(self):
        self.assertEqual(assign([[-0.5, 0, 0], [0, -0.5, 0], [0, 0, -0.5]]), [0, 1, 2])


if __name__ == "__main__":
    unittest.main()

"""Custody among managers that cannot speak: any order of beats, stand-stills and proposals."""

import json
import os
import unittest

from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyrouter.cli import main
from ospreyrouter.custody import GIVEN, Custody, Epoch
from ospreyrouter.store.orders import Orders, orders_path, write_orders

from .stage import StageCase, short_day

LEASE = SECOND = 1_000_000


class Shelf:
    """The store: signs of life, and epochs whose numbers can be created once."""

    def __init__(self, count, slices=12):
        self.beats, self.epochs, self.now, self.count = [0] * count, [], 0, count
        self.managers = [Custody(k, count, slices, LEASE, 0.05) for k in range(count)]
        self.awake = [True] * count

    def newest(self):
        return self.epochs[-1] if self.epochs else None

    def step(self, us=250_000):
        self.now += us
        for k, one in enumerate(self.managers):
            if not self.awake[k]:
                continue
            self.beats[k] += 1
            one.beat_written(self.now, self.now)
            for other in range(self.count):
                if other != k:
                    one.beat_seen(self.now, self.now, other, self.beats[other])
            one.epoch_seen(self.newest(), self.now)
            one.looked(self.now, self.now)
            epoch = one.proposal(self.now)
            if epoch is not None and epoch.number == len(self.epochs) + 1:
                self.epochs.append(epoch)
                one.wrote(epoch, self.now)
            elif epoch is not None:
                one.refused()

    def run(self, seconds):
        for _ in range(int(seconds * 4)):
            self.step()

    def owners(self):
        return [len([1 for owner in self.newest().owners if owner == k]) for k in range(self.count)]

    def restart(self, k):
        self.managers[k], self.awake[k] = Custody(k, self.count, 12, LEASE, 0.05), True


class Dealing(unittest.TestCase):
    def test_deaths_spread_over_all_and_returns_give_back(self):
        shelf = Shelf(3)
        shelf.run(4)
        self.assertEqual(shelf.owners(), [4, 4, 4])
        shelf.awake[1] = False
        shelf.run(3)
        self.assertEqual(shelf.owners()[1], 0)
        self.assertGreater(min(shelf.owners()[0], shelf.owners()[2]), 4)
        shelf.restart(1)
        shelf.run(5)
        self.assertEqual(shelf.owners(), [4, 4, 4])

    def test_a_restart_fences_off_the_process_before_it(self):
        shelf = Shelf(2)
        shelf.run(4)
        before = dict(shelf.managers[0].mine())
        shelf.restart(0)
        shelf.run(2)
        self.assertEqual(shelf.managers[0].mine().keys(), before.keys())
        self.assertTrue(all(fence > before[item] for item, fence in shelf.managers[0].mine().items()))

    def test_one_that_stood_still_publishes_nothing_until_it_renewed(self):
        shelf = Shelf(2)
        shelf.run(4)
        shelf.awake[0] = False
        shelf.run(3)
        self.assertFalse(shelf.managers[0].may_publish(shelf.now))
        self.assertEqual(shelf.owners(), [0, 12])
        shelf.managers[0].beat_written(shelf.now, shelf.now)  # renewed, but it does not know yet whose the slices are
        self.assertFalse(shelf.managers[0].may_publish(shelf.now))
        shelf.managers[0].looked(shelf.now - 1, shelf.now)
        self.assertFalse(shelf.managers[0].may_publish(shelf.now))
        shelf.managers[0].looked(shelf.now, shelf.now)
        self.assertTrue(shelf.managers[0].may_publish(shelf.now))

    def test_no_epoch_for_the_dead_from_a_manager_alone_in_its_first_lease(self):
        one = Custody(0, 2, 4, LEASE, 0.05)
        one.epoch_seen(Epoch(7, (1, 1, 0, 0), (7, 7, 7, 7), (GIVEN,) * 4), 0)
        one.beat_written(0, 0)
        one.looked(0, 0)
        self.assertIsNone(one.proposal(LEASE // 2))

    @settings(deadline=None, max_examples=120)
    @given(st.lists(st.tuples(st.sampled_from(["step", "sleep", "wake", "restart"]), st.integers(0, 2),
                              st.integers(50_000, 700_000)), max_size=60))
    def test_a_live_slice_never_has_two_publishers(self, moves):
        shelf = Shelf(3)
        for what, k, us in moves:
            if what == "sleep":
                shelf.awake[k] = False
            elif what == "wake":
                shelf.awake[k] = True
            elif what == "restart":
                shelf.restart(k)
            shelf.step(us)
            for item in range(12):
                # Asleep ones too: what they would write if they woke just now.
                rows = [k for k, one in enumerate(shelf.managers) if item in one.publishes(shelf.now)]
                self.assertLessEqual(len(rows), 1)
            numbers = [epoch.number for epoch in shelf.epochs]
            self.assertEqual(numbers, sorted(set(numbers)))
        shelf.awake = [True] * 3
        # One that flapped gets its slices back later: each time it came and went doubles the wait, up to 64 leases.
        for _ in range(90):
            shelf.run(1)
            if shelf.newest() and shelf.owners() == [4, 4, 4]:
                break
        self.assertEqual(shelf.owners(), [4, 4, 4])


class OnTheStore(StageCase):
    """The command line beside running managers, in virtual time; what a manager does with orders and lost answers."""

    def owners(self, stage):
        return [len(stage.parts[f"manager-{k}"].custody.mine()) for k in range(2)]

    def test_a_manager_is_held_out_and_released(self):
        stage = self.stage(short_day(60))
        network, names = stage.network, ["manager-0", "manager-1"]
        store, said = os.path.join(self.folder, "store"), []
        network.run(network.time + 4 * SECOND)
        self.assertEqual(self.owners(stage), [6, 6])
        path = os.path.join(self.folder, "deployment.json")
        with open(path, "w") as file:
            file.write(stage.setup.model_dump_json())

        def call(*words):
            result = CliRunner().invoke(main, ["custody", *words])
            said.append(result.output)
            return result.exit_code
        self.assertEqual(call("hold", path, "manager-1"), 0)
        network.run(network.time + 2 * SECOND)
        self.assertEqual(self.owners(stage), [12, 0])
        for words, code in ((("hold", path, "manager-9"), 2), (("hold", path, "manager-0"), 2), (("show", path + "x"), 2)):
            with self.subTest(words=words):
                self.assertEqual(call(*words), code)
                self.assertEqual(said[-1].count("\n"), 1)
        for body, code in (('{"heldOut": ["nobody"]}', 6), ("{", 6), ('{"heldOut": 3}', 6)):
            with open(orders_path(store), "w") as file:  # edited by hand
                file.write(body)
            self.assertEqual(call("show", path), code)
            network.run(network.time + SECOND)
            self.assertEqual(self.owners(stage), [12, 0])  # the last good orders hold
        write_orders(store, names, stage.setup.zones, Orders(("manager-1",)))
        self.assertEqual(call("release", path, "manager-1"), 0)
        network.run(network.time + 6 * SECOND)
        self.assertEqual(self.owners(stage), [6, 6])
        self.assertEqual(call("show", "--json", path), 0)
        rows = json.loads(said[-1])["managers"]
        # Time stands still on the stage while the command looks, so both seem lost to it.
        self.assertEqual([(row["manager"], row["slices"], row["state"]) for row in rows], [(name, 6, "lost") for name in names])

    def test_a_division_that_was_written_though_its_answer_was_lost_has_one_publisher(self):
        stage = self.stage(short_day(60))
        network = stage.network
        network.run(network.time + 4 * SECOND)
        manager = stage.parts["manager-1"]
        work, create = manager.calls.work, manager.calls.work.create_epoch

        def loses_the_answer(*values):
            create(*values)
            raise OSError(5, "Input/output error")
        work.create_epoch = loses_the_answer
        write_orders(os.path.join(self.folder, "store"), ["manager-0", "manager-1"], stage.setup.zones, Orders(("manager-1",)))
        for _ in range(300):
            network.run(network.time + 10_000)
            both = [stage.parts[f"manager-{k}"].custody.publishes(network.time) for k in range(2)]
            self.assertFalse(both[0] & both[1])
            # The core writes none of what is given either.
            self.assertFalse(both[0] & (manager.core.tables.keys() - manager.core.giving) - both[1])
        self.assertEqual(self.owners(stage), [12, 0])


if __name__ == "__main__":
    unittest.main()

"""The second front's codec and what it advises."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ospreyrouter.advice import WHOLE, Refused, Registry, steady_weights
from ospreyrouter.sasp import (BadMessage, DeregistrationRequest, Framer, GetWeightsReply, GetWeightsRequest, Group,
                               LbStateRequest, Member, MemberState, MemberStateRequest, RegistrationRequest, Reply,
                               SendWeights, WeightEntry, decode, encode)
from ospreyrouter.sasp import numbers as n

NAMES = st.text(min_size=1, max_size=12)
MEMBERS = st.builds(Member, st.ip_addresses().map(str), st.integers(0, 65535), st.integers(0, 255), st.text(max_size=8))
BYTE = st.integers(0, 255)


def groups(rows):
    return st.lists(st.builds(Group, NAMES, NAMES, st.lists(rows, max_size=4).map(tuple)), max_size=3).map(tuple)


WEIGHTS = st.builds(WeightEntry, MEMBERS, st.integers(0, 65535), st.booleans(), st.booleans(), st.booleans())
STATES = st.builds(MemberState, MEMBERS, BYTE, st.booleans())
MESSAGES = st.one_of(
    st.builds(RegistrationRequest, groups(MEMBERS), st.booleans()),
    st.builds(DeregistrationRequest, groups(MEMBERS), BYTE, st.booleans()),
    st.builds(GetWeightsRequest, st.lists(st.builds(Group, NAMES, NAMES), max_size=3).map(tuple)), st.builds(SendWeights, groups(WEIGHTS)),
    st.builds(GetWeightsReply, BYTE, st.integers(0, 65535), groups(WEIGHTS)),
    st.builds(LbStateRequest, NAMES, BYTE, st.booleans(), st.booleans(), st.booleans()),
    st.builds(MemberStateRequest, groups(STATES), st.booleans()),
    st.builds(Reply, st.sampled_from([n.REGISTRATION_REPLY, n.LB_STATE_REPLY, n.MEMBER_STATE_REPLY]), BYTE))


class Codec(unittest.TestCase):
    @settings(deadline=None, max_examples=200)
    @given(st.lists(st.tuples(MESSAGES, st.integers(0, 2**32 - 1)), min_size=1, max_size=4), st.randoms())
    def test_messages_come_back_however_they_are_cut(self, rows, chance):
        data, framer, out = b"".join(encode(*row) for row in rows), Framer(), []
        while data:
            cut = chance.randint(1, len(data))
            out += framer.feed(data[:cut])
            data = data[cut:]
        found = [decode(one) for one in out]
        self.assertEqual([number for _, number in found], [number for _, number in rows])
        for (message, _), (sent, _) in zip(found, rows):
            self.assertEqual(encode(message, 0), encode(sent, 0))

    def test_every_byte_alone(self):
        data, framer, out = encode(SendWeights((Group("lb", "slice-1", (WeightEntry(Member("10.0.0.1", 80), 7),)),)), 9), Framer(), []
        for place in range(len(data)):
            out += framer.feed(data[place:place + 1])
        self.assertEqual(len(out), 1)
        self.assertEqual(decode(out[0])[0].groups[0].rows[0].member, Member("10.0.0.1", 80))

    def test_length_fields_that_lie(self):
        good = encode(RegistrationRequest((Group("lb", "slice-1", (Member("10.0.0.1", 80),)),)), 1)
        for place in (2, 3, 8, 15, 16, 18, 21, 22, 26, 30):
            for value in (0, 1, 3, 255):
                if good[place] == value:
                    continue
                with self.subTest(place=place, value=value):
                    bad = good[:place] + bytes([value]) + good[place + 1:]
                    try:
                        self.assertEqual(len(encode(decode(bad)[0], 1)), len(bad))
                    except BadMessage:
                        pass
        with self.assertRaises(BadMessage) as caught:
            Framer().feed(b"GET / HTTP/1.1\r\n")
        self.assertFalse(caught.exception.framed)
        with self.assertRaises(BadMessage):
            Framer().feed(good[:5] + b"\xff\xff\xff\xff" + good[9:])

    def test_mutated_messages_never_fail_otherwise(self):
        chance, kinds = random.Random(4), [
            encode(RegistrationRequest((Group("lb", "slice-1", (Member("10.0.0.1", 80), Member("::1", 81, 6, "x"))),)), 1),
            encode(SendWeights((Group("lb", "slice-1", (WeightEntry(Member("10.0.0.1", 80), 7),)),)), 2),
            encode(LbStateRequest("lb"), 3)]
        for _ in range(20_000):
            data = bytearray(chance.choice(kinds))
            for _ in range(chance.randint(1, 4)):
                data[chance.randrange(13, len(data))] = chance.randrange(256)
            try:
                decode(bytes(data))
            except BadMessage:
                pass


class Weights(unittest.TestCase):
    @settings(deadline=None, max_examples=200)
    @given(st.dictionaries(st.integers(0, 99), st.floats(1e-6, 10), min_size=1, max_size=60), st.integers(0, 99), st.floats(0.99, 1.01))
    def test_they_sum_up_stay_near_and_do_not_reshuffle(self, shares, who, factor):
        weights = steady_weights(shares)
        total = sum(shares.values())
        self.assertEqual((sum(weights.values()), weights), (WHOLE, steady_weights(shares)))
        small = sum(share / total * WHOLE < 1 for share in shares.values())
        for name, weight in weights.items():
            self.assertGreaterEqual(weight, 1)
            self.assertLess(abs(weight - shares[name] / total * WHOLE), 1.0 + small)
        self.assertEqual(steady_weights(shares, weights), weights)
        moved = steady_weights(shares | ({who: shares[who] * factor} if who in shares else {}), weights)
        self.assertEqual(sum(moved.values()), WHOLE)

    def test_registry(self):
        a, b, c, stranger = ("10.0.0.1", 80), ("10.0.0.2", 80), ("10.0.0.3", 80), ("10.9.9.9", 1)
        one = Registry(4)
        one.listed({a: 1.0, b: 0.5, c: 0.0})
        one.register("lb", "slice-1", [a, b, c, stranger])
        one.register("other", "slice-1", [a])
        one.published(1, {a: 0.75, b: 0.25, c: 0.5}, {c})
        self.assertEqual(one.advice("lb", "slice-1"), [(a, 7500, True, False), (b, 2500, True, False), (c, 0, False, True),
                                                       (stranger, 0, False, False)])
        self.assertEqual(one.due("lb"), ["slice-1"])
        one.taken("lb", "slice-1", one.advice("lb", "slice-1"))
        self.assertEqual(one.due("lb"), [])
        one.published(1, {a: 0.75, b: 0.25}, {a})  # a drains
        self.assertEqual(one.unproven(a), ["lb", "other"])
        for lb in ("lb", "other"):
            self.assertEqual(one.due(lb), ["slice-1"])
            one.taken(lb, "slice-1", one.advice(lb, "slice-1"))
        self.assertEqual(one.unproven(a), [])
        one.quiesce("lb", "slice-1", b, True)
        self.assertEqual(sum(row[1] for row in one.advice("lb", "slice-1")), 0)
        for reason, call in (("unknown group", lambda: one.register("lb", "slice-9", [a])), ("duplicate", lambda: one.register("x", "slice-1", [a, a])),
                             ("already registered", lambda: one.register("lb", "slice-1", [a])), ("unknown member", lambda: one.quiesce("lb", "slice-1", ("h", 1), True)),
                             ("too many members", lambda: one.register("x", "slice-1", [("10.0.0.1", k) for k in range(501)]))):
            with self.subTest(reason=reason), self.assertRaises(Refused) as caught:
                call()
            self.assertEqual(caught.exception.reason, reason)
        one.deregister("lb")
        with self.assertRaises(Refused):
            one.advice("lb", "slice-1")


if __name__ == "__main__":
    unittest.main()

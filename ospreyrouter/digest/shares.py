"""Each sender's part of the intake: a burst from one uses up only its own. No I/O.

    queue = FairQueue(bytes_most, quantum)
    dropped = queue.put(sender, size, item)    # items that had to go, of whoever has most waiting
    sender, item = queue.take()                # in turns, by bytes; within a sender the newest first when behind

Deficit round robin by bytes. The whole is bounded: when it is full, the oldest of the sender with most bytes goes.
"""

from collections import OrderedDict, deque


class FairQueue:
    def __init__(self, bytes_most, quantum=16_384):
        self.bytes_most, self.quantum = bytes_most, quantum
        self.senders, self.sizes, self.deficits = OrderedDict(), {}, {}
        self.bytes, self.items, self.newest_first = 0, 0, False

    def put(self, sender, size, item, now=0):
        dropped = []
        while self.bytes + size > self.bytes_most and self.items:
            # An item larger than all others' room goes itself: nobody else pays for it.
            heaviest = max(self.sizes, key=lambda name: (self.sizes[name], name))
            if (
                size >= self.bytes_most
                or heaviest != sender
                and self.sizes.get(sender, 0) + size > self.sizes[heaviest]
            ):
                return dropped + [(sender, item)]
            dropped.append((heaviest, self._remove(heaviest, newest=False)[1]))
        if size > self.bytes_most:
            return dropped + [(sender, item)]
        if sender not in self.senders:
            self.senders[sender], self.sizes[sender], self.deficits[sender] = deque(), 0, 0
        self.senders[sender].append((size, item, now))
        self.sizes[sender] += size
        self.bytes += size
        self.items += 1
        return dropped

    def _remove(self, sender, newest):
        rows = self.senders[sender]
        size, item, at = rows.pop() if newest else rows.popleft()
        self.sizes[sender] -= size
        self.bytes -= size
        self.items -= 1
        if not rows:
            del self.senders[sender], self.sizes[sender], self.deficits[sender]
        return size, item, at

    def take(self):
        """(sender, item, when it was put), or None."""
        while self.senders:
            sender, rows = next(iter(self.senders.items()))
            size = rows[-1 if self.newest_first else 0][0]
            if self.deficits[sender] >= size:
                self.deficits[sender] -= size
                _, item, at = self._remove(sender, self.newest_first)
                return sender, item, at
            self.deficits[sender] += max(self.quantum, 1)
            self.senders.move_to_end(sender)
        return None

    def waiting_since(self):
        """(sender, when its longest waiting item was put), of all who wait."""
        return [(sender, rows[0][2]) for sender, rows in self.senders.items()]

    def forget(self, sender):
        """A sender is gone: what it sent still counts, unless it was closed for what it sent."""
        while sender in self.senders:
            self._remove(sender, newest=False)

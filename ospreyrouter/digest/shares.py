"""A bounded queue with a fair share for each sender: a burst of one sender uses only its own share. No I/O.

    queue = FairQueue(max_bytes, quantum)
    dropped = queue.put(sender, size, item)       # [(sender, item)] that had to be dropped
    sender, item, put_us = queue.take()           # in turn over senders, by bytes

Deficit round robin by bytes. If the queue is full, the oldest item of the sender with most bytes is dropped. Items of a
sender are taken in order, or newest first if `newest_first` is set.
"""

from collections import OrderedDict, deque


class FairQueue:
    """Items of several senders, limited to `max_bytes`; see the module docstring."""

    def __init__(self, max_bytes, quantum=16_384):
        self.max_bytes, self.quantum = max_bytes, quantum
        self.senders, self.sizes, self.deficits = OrderedDict(), {}, {}
        self.bytes, self.item_count, self.newest_first = 0, 0, False

    def put(self, sender, size, item, now=0):
        """Add an item of `size` bytes. Returns [(sender, item)] that were dropped to make room, or the item itself."""
        dropped = []
        while self.bytes + size > self.max_bytes and self.item_count:
            # The new item itself is dropped if it is too large, or if its sender would then have most bytes, so that
            # no other sender loses items for it.
            heaviest = max(self.sizes, key=lambda name: (self.sizes[name], name))
            if size >= self.max_bytes or heaviest != sender and self.sizes.get(sender, 0) + size > self.sizes[heaviest]:
                return dropped + [(sender, item)]
            dropped.append((heaviest, self._remove(heaviest, newest=False)[1]))
        if size > self.max_bytes:
            return dropped + [(sender, item)]
        if sender not in self.senders:
            self.senders[sender], self.sizes[sender], self.deficits[sender] = deque(), 0, 0
        self.senders[sender].append((size, item, now))
        self.sizes[sender] += size
        self.bytes += size
        self.item_count += 1
        return dropped

    def _remove(self, sender, newest):
        """Remove the newest or the oldest item of a sender; returns (size, item, time at which it was put)."""
        queued = self.senders[sender]
        size, item, put_us = queued.pop() if newest else queued.popleft()
        self.sizes[sender] -= size
        self.bytes -= size
        self.item_count -= 1
        if not queued:
            del self.senders[sender], self.sizes[sender], self.deficits[sender]
        return size, item, put_us

    def take(self):
        """Remove and return the next (sender, item, time at which it was put), or None if the queue is empty."""
        while self.senders:
            sender, queued = next(iter(self.senders.items()))
            size = queued[-1 if self.newest_first else 0][0]
            if self.deficits[sender] >= size:
                self.deficits[sender] -= size
                _, item, put_us = self._remove(sender, self.newest_first)
                return sender, item, put_us
            self.deficits[sender] += max(self.quantum, 1)
            self.senders.move_to_end(sender)
        return None

    def waiting_since(self):
        """Return (sender, time at which its oldest item was put) of all senders with items."""
        return [(sender, queued[0][2]) for sender, queued in self.senders.items()]

    def discard(self, sender):
        """Drop all items of a sender that was closed for what it sent."""
        while sender in self.senders:
            self._remove(sender, newest=False)

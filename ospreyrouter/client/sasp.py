"""Speaks SASP to the managers: `SaspFollower(loop, addresses, uid, groups)`.

`groups` is {slice: [workers]}: what this balancer registers. Each slice is asked of one manager after the other until
the one that has it in charge takes it; after a break it is registered anew, with the last weights in force meanwhile.
"""

from random import Random

from ..sasp import (BadMessage, Framer, GetWeightsReply, GetWeightsRequest, Group, LbStateRequest, Member,
                    RegistrationRequest, Reply, SendWeights, decode, encode)
from ..sasp import numbers as n
from .picking import Picker

REDIAL_US = (100_000, 400_000)
ASK_AGAIN_US = 300_000  # a slice that no manager has now: custody passes on


class Link:
    """The connection to one manager."""

    def __init__(self):
        self.stream, self.framer, self.asked, self.number = None, None, {}, 0


class SaspFollower(Picker):
    """See the top of this module."""

    def __init__(self, loop, addresses, uid, groups, seed=None):
        super().__init__(seed)
        self.loop, self.addresses, self.uid, self.groups = loop, list(addresses), uid, groups
        self.links, self.at, self.closed = [Link() for _ in self.addresses], {}, False
        self.delays = Random(f"{uid}/{seed}")
        for place in range(len(self.addresses)):
            self._dial(place)

    def _dial(self, place):
        if not self.closed:
            self.loop.connect(self.addresses[place], 1_000_000, lambda stream, reason: self._connected(place, stream))

    def _connected(self, place, stream):
        if stream is None or self.closed:
            self.loop.after(self.delays.randint(*REDIAL_US), lambda: self._dial(place))
            return
        link = self.links[place] = Link()
        link.stream, link.framer = stream, Framer()
        stream.start(lambda data: self._data(place, link, data), lambda reason: self._broke(place, link))
        self._say(link, LbStateRequest(self.uid, push=True), None)
        for item in sorted(self.groups):
            if self.at.get(item) in (None, place):
                self._register(place, link, item)

    def _say(self, link, message, about):
        link.number += 1
        link.asked[link.number] = about
        link.stream.write(encode(message, link.number))

    def _register(self, place, link, item):
        members = tuple(Member(host, port) for host, port in self.groups[item])
        self._say(link, RegistrationRequest((Group(self.uid, f"slice-{item}", members),)), ("register", item))

    def _broke(self, place, link):
        if self.links[place] is link:
            # The last weights stay in force; the slices are asked of whoever has them.
            link.stream = None
            for item in [item for item, at in self.at.items() if at == place]:
                del self.at[item]
            self.loop.after(self.delays.randint(*REDIAL_US), lambda: self._dial(place))
            self.loop.after(ASK_AGAIN_US, self._seek)

    def _seek(self):
        if self.closed:
            return
        for item in sorted(self.groups):
            if self.at.get(item) is None:
                for place, link in enumerate(self.links):
                    if link.stream is not None:
                        self._register(place, link, item)

    def _data(self, place, link, data):
        try:
            for one in link.framer.feed(data):
                self._message(place, link, *decode(one))
        except BadMessage:
            link.stream.abort("malformed")

    def _message(self, place, link, message, number):
        if isinstance(message, SendWeights):
            self._take(place, message.groups)
        elif isinstance(message, GetWeightsReply):
            link.asked.pop(number, None)
            self._take(place, message.groups)
        elif isinstance(message, Reply):
            about = link.asked.pop(number, None)
            if about is None or about[0] != "register":
                return
            item = about[1]
            if message.code in (n.SUCCESS, n.ALREADY_REGISTERED):
                # Registered before a restart of the manager: its store still has it.
                self.at[item] = place
                self._say(link, GetWeightsRequest((Group(self.uid, f"slice-{item}"),)), ("weights", item))
            elif self.at.get(item) is None:
                self.loop.after(ASK_AGAIN_US, lambda: self.at.get(item) is None and link.stream is not None
                                and link.stream.open and self._register(place, link, item))

    def _take(self, place, groups):
        for group in groups:
            item = int(group.name.rpartition("-")[2])
            self.at[item] = place
            self.changed(item, {(row.member.host, row.member.port): row.weight for row in group.rows
                                if row.weight > 0 and not row.quiesce})

    def close(self):
        self.closed = True
        for link in self.links:
            if link.stream is not None:
                link.stream.close()

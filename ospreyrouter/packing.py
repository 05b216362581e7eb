"""The mechanism of the layout: slices packed into bins, bins dealt out among servers. No I/O and no state.

Popularity and bins are in one unit, requests a window; parts are shares of a slice's popularity.
"""

import hashlib
import heapq

from .assign import assign

LEAST_PART = 0.25  # of what is left of a slice: a smaller part is not worth a line at every proxy


def pack(popularity, bins, held, limits=None, most=None):
    """ModifiedBestFit on bins that may already hold parts of slices; returns {slice: {server: part}}.

    What a server holds stays up to its limit, most popular slice first (without limits, all); the rest goes
    the paper's way: where fewest slots are left after it, else the roomiest is filled, the rest requeued.
    `most`: the largest slice a server gets part of, as what others refuse comes to it. Ties: first in `bins`.
    """
    room, placed, heap, most = dict(bins), {}, [], most or {}
    limits = {s: float("inf") for s in bins} if limits is None else limits
    for item in sorted(popularity, key=lambda s: (-popularity[s], s)):
        total, kept = popularity[item], {}
        for server, part in sorted(held.get(item, {}).items(), key=lambda line: (-line[1], line[0])):
            if server not in room:
                continue
            want = part * total
            # A part that does not fit leaves whole, unless it is more than the bin could ever hold.
            space = room[server] + limits[server] - bins[server] + 1e-9
            stays = want if want <= space else space if want > limits[server] else 0.0
            if stays > 0:
                kept[server] = stays
                room[server] -= stays
        placed[item] = kept
        left = total - sum(kept.values())
        if left > 1e-9 * total:
            heapq.heappush(heap, (-left, item))
    while heap and room:
        left, item = heapq.heappop(heap)
        left = -left
        rest = [s for s in room if popularity[item] <= most.get(s, float("inf"))] or list(room)
        fits = [s for s in rest if room[s] >= left]
        server = min(fits, key=room.get) if fits else max(rest, key=room.get)
        part = left if fits else room[server]
        if part <= LEAST_PART * left:  # all are near full: the least overfull by it, never a small bin
            part, server = left, max(rest, key=lambda s: (room[s] - left) / bins[s])
        placed[item][server] = placed[item].get(server, 0.0) + part
        room[server] -= part
        if left - part > 1e-9 * popularity[item]:
            heapq.heappush(heap, (part - left, item))
    return placed


def match(placed, bins, held):
    """Deal bins of equal size out among their servers so that the fewest replicas are to be loaded."""
    groups, goes = {}, {}
    for server in bins:
        groups.setdefault(bins[server], []).append(server)
    content = {server: [] for server in bins}
    for item, parts in placed.items():
        for server in parts:
            content[server].append(item)
    for group in groups.values():
        loads = [loads_of_moving(source, group, content[source], held) for source in group]
        goes.update((group[row], group[column]) for row, column in enumerate(assign(loads)))
    return {item: {goes[server]: part for server, part in parts.items()} for item, parts in placed.items()}


def loads_of_moving(source, targets, content, held):
    """How many slices each target would have to load to take over the bin of `source`; a tie stays."""
    already = {}
    for item in content:
        for target in held.get(item, ()):
            already[target] = already.get(target, 0) + 1
    return [len(content) - already.get(target, 0) - (source == target) * 0.5 for target in targets]


def hashed(item, servers):
    """The server of a slice by rendezvous hashing: the same at every call, spread evenly."""
    begun = hashlib.blake2b(f"{item}/".encode(), digest_size=8)

    def rank(server):
        whole = begun.copy()
        whole.update(str(server).encode())
        return whole.digest()

    return min(servers, key=rank)

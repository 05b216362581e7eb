"""Packs slices into bins and assigns the bins to servers. No I/O and no state.

Popularity and bin sizes have the same unit, requests per window. Parts of a slice are in that unit, too, except in
`held`, where they are fractions of the slice.
"""

import hashlib
import heapq

from .assign import assign

MIN_PART = 0.25  # of the rest of a slice: a smaller part is not worth a line at every proxy


def pack_slices(popularity, bins, held, limits=None, max_popularity=None, max_loads=None, unknown=frozenset()):
    """Packs slices by ModifiedBestFit into bins that may hold parts of slices already; returns {slice: {server: part}}.

    `popularity`: {slice: requests per window}. `bins`: {server: size}; ties go to the first server in it.
    `held`: {slice: {server: fraction}}. `limits`: {server: size up to which it keeps what it holds}, the most popular
    slice first; None: it keeps all. `max_popularity`: {server: popularity of the largest slice it may get a part of},
    because a server also gets the tries that other servers refuse. `max_loads`: {server: load that it gets at most, as
    long as any other server is allowed}, beyond its bin where all bins are full. `unknown`: slices whose popularity is
    only assumed; a server with a `max_popularity` gets nothing more of them if any other server is there.

    The rest of a slice goes to the server that has least room left after it. If it fits nowhere, the server with the
    most room is filled, and what remains is queued again.
    """
    room, placed, heap, max_popularity, max_loads = dict(bins), {}, [], max_popularity or {}, max_loads or {}
    limits = {each: float("inf") for each in bins} if limits is None else limits
    for slice_index in sorted(popularity, key=lambda index: (-popularity[index], index)):
        total, kept = popularity[slice_index], {}
        for server, fraction in sorted(held.get(slice_index, {}).items(), key=lambda line: (-line[1], line[0])):
            if server not in room:
                continue
            wanted = fraction * total
            # A part that does not fit leaves as a whole, unless it is larger than the limit itself.
            space = room[server] + limits[server] - bins[server] + 1e-9
            stays = wanted if wanted <= space else space if wanted > limits[server] else 0.0
            if stays > 0:
                kept[server] = stays
                room[server] -= stays
        placed[slice_index] = kept
        remaining = total - sum(kept.values())
        if remaining > 1e-9 * total:
            heapq.heappush(heap, (-remaining, slice_index))
    while heap and room:
        remaining, slice_index = heapq.heappop(heap)
        remaining = -remaining
        size = float("inf") if slice_index in unknown else popularity[slice_index]
        allowed = [each for each in room if each not in max_popularity or size <= max_popularity[each]] or list(room)
        fitting = [each for each in allowed if room[each] >= remaining]
        server = min(fitting, key=room.get) if fitting else max(allowed, key=room.get)
        part = remaining if fitting else room[server]
        if part <= MIN_PART * remaining:
            # All are nearly full: the rest goes to the server that is overfull least, relative to its bin, by it.
            able = [
                each for each in allowed if bins[each] - room[each] + remaining <= max_loads.get(each, float("inf"))
            ]
            part, server = remaining, max(able or allowed, key=lambda each: (room[each] - remaining) / bins[each])
        placed[slice_index][server] = placed[slice_index].get(server, 0.0) + part
        room[server] -= part
        if remaining - part > 1e-9 * popularity[slice_index]:
            heapq.heappush(heap, (part - remaining, slice_index))
    return placed


def match_bins(placed, bins, held, limited=frozenset()):
    """Exchanges bins of equal size between servers so that the fewest slices have to be loaded.

    `limited`: servers with further limits than their bin, which exchange bins only with each other.

    Arguments and result are as for `pack_slices`; `placed` is its result.
    """
    groups, targets = {}, {}
    for server in bins:
        groups.setdefault((bins[server], server in limited), []).append(server)
    content = {server: [] for server in bins}
    for slice_index, parts in placed.items():
        for server in parts:
            content[server].append(slice_index)
    for group in groups.values():
        costs = [slices_to_load(source, group, content[source], held) for source in group]
        targets.update((group[row], group[column]) for row, column in enumerate(assign(costs)))
    return {
        slice_index: {targets[server]: part for server, part in parts.items()} for slice_index, parts in placed.items()
    }


def slices_to_load(source, targets, content, held):
    """For each target, how many slices of `content` it would have to load to take over the bin of `source`.

    The source itself counts half a slice less, so that a tie changes nothing.
    """
    held_counts = {}
    for slice_index in content:
        for target in held.get(slice_index, ()):
            held_counts[target] = held_counts.get(target, 0) + 1
    return [len(content) - held_counts.get(target, 0) - (source == target) * 0.5 for target in targets]


def rendezvous_server(slice_index, servers):
    """The server of a slice by rendezvous hashing: the same at every call, and evenly spread over slices."""
    prefix = hashlib.blake2b(f"{slice_index}/".encode(), digest_size=8)

    def rank(server):
        hasher = prefix.copy()
        hasher.update(str(server).encode())
        return hasher.digest()

    return min(servers, key=rank)

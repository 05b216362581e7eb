"""Measures how long proxies of a stand-in relay have had no selectable worker for a slice."""


class StarvationMeter:
    """Samples the proxies of a `ChannelRelay`; call `sample` often.

    `longest_us`: the longest time so far that a joined proxy had no selectable worker for a slice, in microseconds of
    the clock of time limits; `longest_pair`: that proxy and slice.
    """

    def __init__(self, relay):
        self.relay, self.longest_us, self.longest_pair = relay, 0, None
        self.since = {}  # (proxy, slice): since when there is no selectable worker
        self.samples = {}  # proxy: its stream, its change count, slices without selectable worker

    def sample(self, warm_server_listed=True):
        """Update the times; without a warm server in the list no time counts."""
        now, since = self.relay.clock.now(), {}
        if not warm_server_listed:
            self.since = {}
            return
        for proxy, member in self.relay.members.items():
            for slice_index in self._starved_slices(proxy, member):
                earliest = max(member.joined_at, self.relay.granted_at[slice_index])
                since[proxy, slice_index] = max(earliest, self.since.get((proxy, slice_index), now))
        self.since = since
        for pair, begun in since.items():
            if now - begun > self.longest_us:
                self.longest_us, self.longest_pair = now - begun, pair

    def _starved_slices(self, proxy, member):
        sampled_member, change_count, slice_indices = self.samples.get(proxy, (None, 0, []))
        if sampled_member is not member or change_count != member.change_count:
            slice_indices = member.starved_slices(self.relay.slices)
            self.samples[proxy] = member, member.change_count, slice_indices
        return slice_indices

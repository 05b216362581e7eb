"""Version chains by slice: lookup, retention, and detection of forks.

history = VersionHistory(keep_count, keep_us)
history.add(table, at_us)            # in any order; a digest that is already present is ignored
history.find(slice_index, "3.12")    # by version, by digest prefix (8 or more digits), or by a time in microseconds
history.prunable(now_us)             # digests that retention no longer keeps
"""


class VersionLookupError(Exception):
    """A version lookup failed; `reason` is "unknown", "pruned", "ambiguous" or "malformed"."""

    def __init__(self, reason, text):
        super().__init__(text)
        self.reason = reason


class StoredVersion:
    """One version of a slice, with its time of publication (microseconds since 1970 by the publisher's clock) and its
    cause.

    The table is built by `load_table` on first access: after a start, most tables of a long history are never needed.
    """

    __slots__ = ("slice", "version", "digest", "parent", "at_us", "cause", "load_table", "loaded_table")

    def __init__(self, slice_index, version, digest, parent, at_us, cause, load_table=None, loaded_table=None):
        self.slice, self.version, self.digest, self.parent = slice_index, version, digest, parent
        self.at_us, self.cause, self.load_table, self.loaded_table = at_us, cause, load_table, loaded_table

    @property
    def table(self):
        """The Table of this version. Raises whatever `load_table` raises for a record that cannot be parsed."""
        if self.loaded_table is None:
            self.loaded_table, self.load_table = self.load_table(), None
        return self.loaded_table


class VersionHistory:
    """Versions of all slices, bounded by `keep_count` versions a slice and by an age of `keep_us` microseconds.

    The newest version of a slice is kept whatever its age.
    """

    def __init__(self, keep_count=64, keep_us=7 * 86_400_000_000):
        self.keep_count, self.keep_us = keep_count, keep_us
        self.by_digest, self.by_slice, self.forks, self.pruned = {}, {}, [], 0
        self.highest_pruned = {}  # by slice: the highest version that retention dropped

    def add(self, table, at_us, cause=""):
        """Adds a table and returns whether it was new. Two tables with the same number are recorded as a fork."""
        return self.add_version(
            StoredVersion(table.slice, table.version, table.digest, table.parent, at_us, cause, loaded_table=table)
        )

    def add_version(self, added):
        """Adds a StoredVersion and returns whether its digest was new."""
        if added.digest in self.by_digest:
            return False
        self.by_digest[added.digest] = added
        versions = self.by_slice.setdefault(added.slice, [])
        index = len(versions)
        while index and versions[index - 1].version > added.version:
            index -= 1
        if index and versions[index - 1].version == added.version:
            self.forks.append((added.slice, added.version, versions[index - 1].digest, added.digest))
        versions.insert(index, added)
        return True

    def newest(self, slice_index):
        """Returns the newest StoredVersion of a slice, or None."""
        versions = self.by_slice.get(slice_index)
        return versions[-1] if versions else None

    def find(self, slice_index, selector):
        """Returns the StoredVersion that `selector` names; raises VersionLookupError if there is not exactly one.

        `selector` is "FENCE.COUNT", a digest prefix of at least eight hexadecimal digits, or an int: a time in
        microseconds since 1970, which selects the version in force at that time.
        """
        versions = self.by_slice.get(slice_index, [])
        if isinstance(selector, int):
            published = [index for index, stored in enumerate(versions) if stored.at_us <= selector]
            if not published:
                raise VersionLookupError(
                    "pruned" if slice_index in self.highest_pruned else "unknown",
                    f"slice {slice_index}: no version is kept from that time",
                )
            if published[-1] != len(published) - 1:
                # A clock was set back: at that time of day two versions were in force, one after the other.
                raise VersionLookupError(
                    "ambiguous",
                    f"slice {slice_index}: the publisher's clock was set back around that time; name the version",
                )
            return versions[published[-1]]
        if "." in selector:
            fence, _, count = selector.partition(".")
            version = (int(fence), int(count)) if fence.isdigit() and count.isdigit() else None
            found = [stored for stored in versions if stored.version == version]
            if version is None:
                raise VersionLookupError("malformed", f"{selector!r:.60} is not a version (FENCE.COUNT)")
            if not found and version <= self.highest_pruned.get(slice_index, (0, 0)):
                raise VersionLookupError("pruned", f"slice {slice_index}: version {selector} was pruned")
        else:
            if len(selector) < 8 or set(selector) - set("0123456789abcdef"):
                raise VersionLookupError(
                    "malformed", f"{selector!r:.60} is not a digest prefix of at least eight hexadecimal digits"
                )
            found = [stored for stored in versions if stored.digest.startswith(selector)]
        if not found:
            raise VersionLookupError("unknown", f"slice {slice_index}: no version {selector:.60}")
        if len(found) > 1:
            raise VersionLookupError(
                "ambiguous", f"slice {slice_index}: {selector:.60} matches {len(found)} versions; give the digest"
            )
        return found[0]

    def prunable(self, now_us):
        """Returns versions that neither count nor age keeps, as (slice, digest), oldest first.

        With `now_us` None, age is ignored and only the count decides.
        """
        expired = []
        for slice_index, versions in sorted(self.by_slice.items()):
            for index, stored in enumerate(versions[:-1]):
                if (
                    len(versions) - index > self.keep_count
                    or now_us is not None
                    and now_us - stored.at_us > self.keep_us
                ):
                    expired.append((slice_index, stored.digest))
        return expired

    def prune(self, now_us):
        """Removes the prunable versions and returns their number."""
        expired = self.prunable(now_us)
        dropped = {digest for _, digest in expired}
        for slice_index in {slice_index for slice_index, _ in expired}:
            versions = self.by_slice[slice_index]
            self.highest_pruned[slice_index] = max(
                self.highest_pruned.get(slice_index, (0, 0)),
                max(stored.version for stored in versions if stored.digest in dropped),
            )
            self.by_slice[slice_index] = [stored for stored in versions if stored.digest not in dropped]
        for digest in dropped:
            del self.by_digest[digest]
        self.pruned += len(expired)
        return len(expired)

    def find_inconsistencies(self):
        """Returns one text for each fork and for each version whose parent is neither kept nor pruned."""
        inconsistencies = [
            f"slice {slice_index}: version {version[0]}.{version[1]} has two contents: {one[:12]} and {other[:12]}"
            for slice_index, version, one, other in self.forks
        ]
        for slice_index, versions in sorted(self.by_slice.items()):
            for index, stored in enumerate(versions):
                if (
                    stored.parent
                    and stored.parent not in self.by_digest
                    and index
                    and stored.version > self.highest_pruned.get(slice_index, (0, 0))
                ):
                    inconsistencies.append(
                        f"slice {slice_index}: the parent of version {stored.version[0]}.{stored.version[1]}, "
                        f"{stored.parent[:12]}, is not in the history"
                    )
        return inconsistencies

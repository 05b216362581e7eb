"""The tables, fences and orders that a file agent holds, and the rules by which it accepts updates. No I/O.

    ledger = Ledger()
    changed, orders_changed, missing_bases = ledger.apply_push(push)
    changed = ledger.apply_read(manager, fence, tables, assigned)   # tables read from the store through a manager

The same updates lead to the same result in any order of arrival.

Fencing: tables of a slice are accepted only from a sender whose fencing number is not older than the newest one seen
for that slice. After a pause two managers may both believe that they are in charge of a slice: the older one is
rejected.
"""

from dataclasses import dataclass, field

from ..versions import BaseMismatch, DigestMismatch, apply_delta, verify_digest
from ..xds.documents import Delta, Table, version_claim


class Rejected(Exception):
    """An update was rejected; `reason` is one of a few words that serve as counter names, the text has the details."""

    def __init__(self, reason, text):
        super().__init__(text)
        self.reason = reason


@dataclass
class ManagerOrders:
    """What one manager ordered besides tables: admission levels by class, and the withheld workers."""

    levels: dict = field(default_factory=dict)
    withheld: frozenset = frozenset()


class Ledger:
    """Tables, fences and owners by slice; orders (admission levels and withheld workers) by manager."""

    def __init__(self):
        self.tables, self.fences, self.owners, self.orders = {}, {}, {}, {}

    def fence(self, slice_index):
        """Returns the newest fencing number seen for a slice, 0 if there is none."""
        return self.fences.get(slice_index, 0)

    def accept_custody(self, manager, fence, slice_indices):
        """Records that a manager is in charge of slices. Raises Rejected, without any change, if it is fenced off."""
        self._check_fences(manager, fence, slice_indices)
        for slice_index in slice_indices:
            self.fences[slice_index], self.owners[slice_index] = fence, manager

    def _check_fences(self, manager, fence, slice_indices):
        """Raises Rejected if one of the slices has a newer fence, or the same fence with another owner."""
        fenced_off = [
            slice_index
            for slice_index in slice_indices
            if fence < self.fence(slice_index)
            or fence == self.fence(slice_index)
            and self.owners.get(slice_index, manager) != manager
        ]
        if fenced_off:
            raise Rejected(
                "fenced", f"{manager} has fence {fence}, slice {fenced_off[0]} has fence {self.fence(fenced_off[0])}"
            )

    def apply_push(self, push):
        """Applies a push and returns (changed slices, whether the manager's orders changed, missing bases).

        `missing_bases` are slices whose delta starts from a version that is not held here: their tables stay and have
        to be read in full, while the rest of the push takes effect. Raises Rejected, without any change, if a fence is
        out of date, a content does not match its digest, or a slice occurs twice.
        """
        slice_indices = [table.slice for table in push.tables]
        if len(set(slice_indices)) != len(slice_indices):
            raise Rejected("malformed", "a slice occurs twice in one push")
        self._check_fences(push.manager, push.fence, slice_indices)
        changed, missing_bases, accepted = set(), set(), []
        for table in push.tables:
            try:
                if isinstance(table, Delta):
                    held = self.tables.get(table.slice)
                    if held is not None and held.digest == table.target:
                        continue  # a repeat: its result is already in force
                    table = apply_delta(table, held)
                else:
                    verify_digest(table)
            except BaseMismatch:
                if self._supersedes(table, push.fence):
                    missing_bases.add(table.slice)
                continue
            except DigestMismatch as error:
                raise Rejected("altered", str(error)) from None
            accepted.append(table)
        for table in accepted:
            if self._supersedes(table, push.fence):
                self.tables[table.slice] = table
                changed.add(table.slice)
        for table in push.tables:
            self.fences[table.slice], self.owners[table.slice] = push.fence, push.manager
        orders = self.orders.setdefault(push.manager, ManagerOrders())
        levels = orders.levels | push.levels
        withheld = frozenset(
            (orders.withheld | {name for name, is_withheld in push.withheld.items() if is_withheld})
            - {name for name, is_withheld in push.withheld.items() if not is_withheld}
        )
        orders_changed = levels != orders.levels or withheld != orders.withheld
        affected = (
            {
                slice_index
                for slice_index, table in self.tables.items()
                if self.owner(slice_index) == push.manager
                and (
                    levels != orders.levels
                    or any((line.worker in withheld) != (line.worker in orders.withheld) for line in table.lines)
                )
            }
            if orders_changed
            else set()
        )
        orders.levels, orders.withheld = levels, withheld
        return changed | affected, orders_changed, missing_bases

    def _supersedes(self, table, fence):
        """Whether a table or delta under this fence replaces the table that is held."""
        held = self.tables.get(table.slice)
        # From a newer owner any version counts: what an older owner wrote after losing the slice must be replaced.
        if held is None or fence > self.fence(table.slice) or table.version > held.version:
            return True
        # One number with two contents is a fork, as after a store was restored from a backup. The manager in charge
        # decides.
        return table.version == held.version and isinstance(table, Table) and table.digest != held.digest

    def apply_read(self, manager, fence, tables, assigned=()):
        """Applies tables read from the store through the manager in charge, and the slices `assigned` to it.

        Slices with a newer fence are left as they are. Returns the slices whose files have to change. Raises Rejected,
        without any change, if a table does not match its digest.
        """
        changed = set()
        owners_before = {slice_index: self.owner(slice_index) for slice_index in assigned}
        for table in tables:
            try:
                verify_digest(table)
            except DigestMismatch as error:
                raise Rejected("altered", str(error)) from None
        for table in tables:
            if fence < self.fence(table.slice):
                continue
            if self._supersedes(table, fence) and table != self.tables.get(table.slice):
                self.tables[table.slice] = table
                changed.add(table.slice)
        for slice_index in [*assigned, *(table.slice for table in tables)]:
            if fence >= self.fence(slice_index):
                self.fences[slice_index], self.owners[slice_index] = fence, manager
        # Another owner has other levels and withholds other workers, and the files contain both.
        return changed | {
            slice_index
            for slice_index, owner in owners_before.items()
            if slice_index in self.tables and owner != self.owner(slice_index)
        }

    def copy(self):
        """Returns a copy to apply an update to; it replaces the original only once the files contain it."""
        other = Ledger()
        other.tables, other.fences, other.owners = dict(self.tables), dict(self.fences), dict(self.owners)
        other.orders = {name: ManagerOrders(dict(held.levels), held.withheld) for name, held in self.orders.items()}
        return other

    def owner(self, slice_index):
        """Returns the manager in charge of a slice, else the one that published its table, else None."""
        table = self.tables.get(slice_index)
        return self.owners.get(slice_index) or (table.manager if table else None)

    def orders_of(self, manager):
        """Returns the ManagerOrders of a manager; empty ones if it has sent none."""
        return self.orders.get(manager) or ManagerOrders()

    def held_versions(self, manager=None):
        """Returns the versions held, by resource name, as a reader of the store claims them; `manager` is unused."""
        return {f"slice-{slice_index}": version_claim(table) for slice_index, table in self.tables.items()}

    def restore(self, tables, orders, fences):
        """Sets the content from files that a former process left.

        `orders` is {manager: (levels, withheld)}, `fences` {slice: (fence, owner)}.
        """
        self.tables = {table.slice: table for table in tables}
        self.orders = {name: ManagerOrders(dict(levels), withheld) for name, (levels, withheld) in orders.items()}
        for slice_index, (fence, owner) in fences.items():
            self.fences[slice_index], self.owners[slice_index] = fence, owner

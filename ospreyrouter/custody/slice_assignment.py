"""Assignment of slices to managers. No I/O and no clock: which managers are alive is an argument.

    owners = assign_owners(epoch, own_index, manager_count, alive, settled, dead, held_out, is_first, max_returned)

A slice changes its owner for one of three reasons: its owner hands it over (back to its home manager, or because an
operator holds the owner out), its owner is proven dead, or it never had an owner. Slices of a dead manager are spread
over all managers that are alive; they return to their home manager in steps.
"""

import hashlib
from dataclasses import dataclass

NO_VICTIM = -1


@dataclass(frozen=True)
class Epoch:
    """One assignment of all slices to managers.

    `owners[slice]` is a manager's number, `fences[slice]` the number of the epoch that assigned the slice to it, and
    `victims[slice]` the dead manager that the slice was taken over from, or NO_VICTIM if its owner handed it over or it
    had no owner.
    """

    number: int
    owners: tuple
    fences: tuple
    victims: tuple


def home_manager(slice_index, manager_count):
    """Returns the number of the manager that owns the slice while all managers are alive."""
    return slice_index % manager_count


def rendezvous_owner(slice_index, alive):
    """Selects one of the managers `alive` by rendezvous hashing, which spreads a dead manager's slices over all of
    them.
    """
    return min(alive, key=lambda manager: hashlib.blake2b(f"{slice_index}/{manager}".encode(), digest_size=8).digest())


def default_owner(slice_index, manager_count, alive):
    """Returns the owner of a slice that no live manager holds: its home manager if alive, else one by hashing."""
    return (
        home_manager(slice_index, manager_count)
        if home_manager(slice_index, manager_count) in alive
        else rendezvous_owner(slice_index, alive)
    )


def assign_owners(epoch, own_index, manager_count, alive, settled, dead, held_out, is_first, max_returned):
    """Returns the list of owners by slice that the manager `own_index` proposes.

    It moves only its own slices, of which at most `max_returned` return to their home managers, and, if it is the first
    manager alive, all slices of dead managers. `settled(manager)` and `dead(manager)` are predicates; `held_out` are
    managers that must be assigned nothing, unless no others are alive.
    """
    owners, returned = list(epoch.owners), 0
    eligible = [manager for manager in alive if manager not in held_out] or alive
    for slice_index, owner in enumerate(owners):
        home = home_manager(slice_index, manager_count)
        if owner == own_index:
            if own_index in held_out and own_index not in eligible:
                owners[slice_index] = default_owner(slice_index, manager_count, eligible)
            elif home != own_index and home in eligible and settled(home) and returned < max_returned:
                owners[slice_index], returned = home, returned + 1
        elif is_first and dead(owner):
            owners[slice_index] = default_owner(slice_index, manager_count, eligible)
    return owners

"""`ospreyrouter custody`: shows which manager is in charge of which slices; holds managers out by hand.

Reads and writes the store. Exit codes: 0 success, 2 invalid input, 6 orders or an epoch cannot be read.
"""

import json
import time
from collections import Counter
from pathlib import Path

import click

from ..custody import NO_VICTIM, Membership
from ..deployment import read_deployment
from ..files import Disk
from ..store import EpochFiles
from ..store.orders import InvalidOrders, read_orders, write_orders
from .serve import BadInput, read_or_fail


class UnreadableStore(BadInput):
    """Orders or epochs in the store cannot be read."""

    exit_code = 6


class StoreClient:
    """The deployment at `path` and the custody files in its store. Raises BadInput if no manager has run yet."""

    def __init__(self, path):
        self.setup = read_or_fail(read_deployment, path)
        self.folder = str(Path(path).parent / self.setup.store)
        self.names = [manager.name for manager in self.setup.managers]
        if not (Path(self.folder) / "custody").is_dir():
            raise BadInput(f"{self.folder}: has no custody files: no manager has run yet")
        # Manager index -1: the heartbeats of all managers are read.
        self.files = EpochFiles(self.folder, -1, self.names, Disk())

    def orders(self):
        """Returns the operators' orders in the store. Raises UnreadableStore."""
        try:
            return read_orders(self.folder, self.names, self.setup.zones)
        except InvalidOrders as error:
            raise UnreadableStore(str(error)) from None


def observe_states(store):
    """Returns the state of each manager, "up", "lost" or "unknown".

    Reads the heartbeats for a bit longer than the patience after which a manager counts as dead, as only a heartbeat
    that changes proves that a manager runs.
    """
    lease_us = round(store.setup.custody.lease_s * 1e6)
    patience_us = round(lease_us * (1 + store.setup.custody.drift))
    membership, clock = Membership(-1, len(store.names), lease_us, patience_us), lambda: time.monotonic_ns() // 1000
    deadline_us = clock() + patience_us + lease_us // 2
    while True:
        check_started_us = clock()
        for manager, heartbeat in store.files.read_heartbeats().items():
            membership.record_heartbeat(check_started_us, clock(), manager, heartbeat)
        membership.check_completed(check_started_us)
        if check_started_us >= deadline_us:
            return [
                "lost"
                if membership.is_dead(index)
                else "up"
                if membership.is_alive(index, check_started_us)
                else "unknown"
                for index in range(len(store.names))
            ]
        time.sleep(min(0.05, lease_us / 8e6))


@click.group()
def custody():
    """Show which manager is in charge of which slices, hold managers out and release them."""


@custody.command()
@click.argument("path", type=click.Path())
@click.option("--json", "as_json", is_flag=True)
def show(path, as_json):
    """Show the state and slices of each manager, and the slices taken over. Takes a bit longer than a lease."""
    store = StoreClient(path)
    held_out, states, epoch = store.orders().managers, observe_states(store), store.files.newest()
    if epoch is None:
        raise UnreadableStore(f"{store.folder}: custody: no epoch can be read")
    owners, taken_over = (
        Counter(epoch.owners),
        Counter(owner for owner, victim in zip(epoch.owners, epoch.victims) if victim != NO_VICTIM),
    )
    foreign = Counter(
        owner for slice_index, owner in enumerate(epoch.owners) if slice_index % len(store.names) != owner
    )
    entries = [
        {
            "manager": name,
            "state": "held out" if name in held_out else states[index],
            "alive": states[index] == "up",
            "slices": owners[index],
            "of_others": foreign[index],
            "taken": taken_over[index],
        }
        for index, name in enumerate(store.names)
    ]
    if as_json:
        click.echo(json.dumps({"epoch": epoch.number, "managers": entries}))
        return
    click.echo(f"epoch {epoch.number}, {len(epoch.owners)} slices")
    for entry in entries:
        click.echo(
            f"  {entry['manager']}: {entry['state']}, {entry['slices']} slices, {entry['of_others']} of them with "
            f"another home manager, {entry['taken']} taken over from lost managers"
        )


def change_orders(path, field, name, hold_out):
    """Holds a manager or site out, or releases it; `field` is "managers" or "sites". Raises BadInput."""
    store = StoreClient(path)
    known_names = store.names if field == "managers" else store.setup.zones
    if name not in known_names:
        raise BadInput(f"{path}: {'managers' if field == 'managers' else 'zones'}: has no {name!r}")
    orders = store.orders()
    held_out = set(getattr(orders, field))
    (held_out.add if hold_out else held_out.discard)(name)
    try:
        write_orders(store.folder, store.names, store.setup.zones, orders._replace(**{field: tuple(sorted(held_out))}))
    except InvalidOrders as error:
        raise BadInput(str(error)) from None
    except OSError as error:
        raise BadInput(f"{error.filename or store.folder}: {error.strerror}") from None


def add_hold_commands(group, field, kind, held, released):
    """Adds the commands `hold` and `release` to a group of commands.

    `kind` is "manager" or "site"; `held` and `released` state the consequence, in the help and after the command.
    """
    for name, hold_out, consequence in (("hold", True, held), ("release", False, released)):

        def run(path, target, hold_out=hold_out, consequence=consequence):
            change_orders(path, field, target, hold_out)
            click.echo(f"{target}: {consequence}")

        run.__doc__ = f"{name.capitalize()} a {kind}: {consequence}."
        group.command(name)(
            click.argument("path", type=click.Path())(click.argument("target", metavar=kind.upper())(run))
        )


add_hold_commands(
    custody,
    "managers",
    "manager",
    "it gives its slices away and is given none until it is released",
    "its slices return, a quarter a lease",
)

"""`ospreyrouter custody`: who is in charge of what, and managers held out by hand. Reads and writes the store only.

Exit codes: 0 done, 2 bad input, 6 orders or an epoch that cannot be read.
"""

import json
import time
from collections import Counter
from pathlib import Path

import click

from ..custody import GIVEN, Membership
from ..deployment import BadDeployment, read_deployment
from ..files import Disk
from ..store import EpochFiles
from ..store.orders import BadOrders, read_orders, write_orders
from .serve import BadInput


class Unreadable(BadInput):
    exit_code = 6


class Shelf:
    """The deployment's store, as custody has it."""

    def __init__(self, path):
        try:
            self.setup = read_deployment(path)
        except BadDeployment as problem:
            raise BadInput(str(problem)) from None
        self.folder = str(Path(path).parent / self.setup.store)
        self.names = [row.name for row in self.setup.managers]
        if not (Path(self.folder) / "custody").is_dir():
            raise BadInput(f"{self.folder}: has no custody yet: no manager has run")
        # As nobody: signs of all managers are read.
        self.files = EpochFiles(self.folder, -1, self.names, Disk())

    def held_out(self):
        try:
            return read_orders(self.folder, self.names)
        except BadOrders as problem:
            raise Unreadable(str(problem)) from None


def watched(shelf):
    """States of all managers, by looks over a bit more than a patience: signs tell only by changing."""
    lease = round(shelf.setup.custody.lease_s * 1e6)
    patience = round(lease * (1 + shelf.setup.custody.drift))
    members, clock = Membership(-1, len(shelf.names), lease, patience), lambda: time.monotonic_ns() // 1000
    end = clock() + patience + lease // 2
    while True:
        began = clock()
        for manager, beat in shelf.files.beats().items():
            members.seen(began, clock(), manager, beat)
        members.looked(began)
        if began >= end:
            return ["lost" if members.dead(k) else "up" if members.alive(k, began) else "unknown" for k in range(len(shelf.names))]
        time.sleep(min(0.05, lease / 8e6))


@click.group()
def custody():
    """Which manager is in charge of which slice, and managers held out by hand."""


@custody.command()
@click.argument("path", type=click.Path())
@click.option("--json", "as_json", is_flag=True)
def show(path, as_json):
    """Managers with their state, slices, and what was taken for them. Takes a bit more than a lease."""
    shelf = Shelf(path)
    held, states, epoch = shelf.held_out(), watched(shelf), shelf.files.newest()
    if epoch is None:
        raise Unreadable(f"{shelf.folder}: custody: no epoch can be read")
    owners, taken = Counter(epoch.owners), Counter(
        owner for owner, past in zip(epoch.owners, epoch.past) if past != GIVEN)
    away = Counter(owner for item, owner in enumerate(epoch.owners) if item % len(shelf.names) != owner)
    rows = [{"manager": name, "state": "held out" if name in held else states[k], "alive": states[k] == "up",
             "slices": owners[k], "of_others": away[k], "taken": taken[k]} for k, name in enumerate(shelf.names)]
    if as_json:
        click.echo(json.dumps({"epoch": epoch.number, "managers": rows}))
        return
    click.echo(f"epoch {epoch.number}, {len(epoch.owners)} slices")
    for row in rows:
        click.echo(f"  {row['manager']}: {row['state']}, {row['slices']} slices, {row['of_others']} of them others' by "
                   f"home, {row['taken']} taken from the dead")


def ordered(path, name, out):
    shelf = Shelf(path)
    if name not in shelf.names:
        raise BadInput(f"{path}: managers: has no {name!r}")
    held = set(shelf.held_out())
    (held.add if out else held.discard)(name)
    try:
        write_orders(shelf.folder, shelf.names, held)
    except BadOrders as problem:
        raise BadInput(str(problem)) from None
    except OSError as problem:
        raise BadInput(f"{problem.filename or shelf.folder}: {problem.strerror}") from None


@custody.command()
@click.argument("path", type=click.Path())
@click.argument("manager")
def hold(path, manager):
    """Hold a manager out: it gives its slices away at once and is given none until it is released."""
    ordered(path, manager, True)
    click.echo(f"{manager} is held out; `custody show` says when its slices are away")


@custody.command()
@click.argument("path", type=click.Path())
@click.argument("manager")
def release(path, manager):
    """Let a manager have its slices again: they return in steps."""
    ordered(path, manager, False)
    click.echo(f"{manager} gets its slices back, a quarter a lease")

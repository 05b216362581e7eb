"""`ospreyrouter tables`: shows tables in force and earlier versions, and brings versions back.

Reads the store; only `rollback` asks managers. Exit codes: 0 success, 2 invalid input, 3 no such version, 4 version was
deleted, 5 not in charge, 6 damaged records or a proxy's files differ, 7 a manager could not be asked, 8 the store has a
newer format.
"""

import json
import os
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

import click
import orjson

from ..deployment import read_deployment
from ..files import TableReader
from ..loop import Loop
from ..store import TableStore
from ..store.tables import NewerFormat
from ..versions import DigestMismatch, VersionHistory, VersionLookupError
from ..versions import verify_digest as verify_table
from ..web import Client
from ..xds.documents import InvalidDocument
from .serve import BadInput, read_or_fail

EXIT_CODES = {"unknown": 3, "malformed": 2, "ambiguous": 2, "pruned": 4, "not in charge": 5, "no lease": 7}
REQUEST_TIMEOUT_US = 30_000_000


class Failed(BadInput):
    """An error with its own exit code."""

    def __init__(self, text, code):
        super().__init__(text)
        self.exit_code = code


class Store:
    """The deployment at `path` and the tables in its store, read only. Raises BadInput or Failed."""

    def __init__(self, path):
        self.setup = read_or_fail(read_deployment, path)
        self.root = Path(path).parent
        folder = str(self.root / self.setup.store)
        try:
            self.tables = TableStore(folder, "", None, history=VersionHistory(10**9, 10**18))
        except NewerFormat as error:
            raise Failed(str(error), 8) from None
        except OSError as error:
            raise BadInput(f"{error.filename}: {error.strerror}") from None
        self.history = self.tables.history

    def find(self, slice_index, selector):
        """Returns the version of a slice that a selector (see `version_option`) names. Raises Failed."""
        try:
            return self.history.find(slice_index, selector)
        except VersionLookupError as error:
            raise Failed(str(error), EXIT_CODES[error.reason]) from None

    def newest(self, slice_index):
        """Returns the newest version of a slice. Raises Failed."""
        version = self.history.newest(slice_index)
        if version is None:
            raise Failed(f"slice {slice_index}: has no table", 3)
        return version


def version_option(text):
    """Returns the selector of a version: a version or digest as it is, a time as microseconds since 1970.

    Times are given as `-90s`, `-5m`, `-2h`, `-1d` or in ISO format, in UTC unless they name a time zone. Raises
    BadInput.
    """
    units = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
    if text.startswith("-") and text[-1:] in units and text[1:-1].replace(".", "", 1).isdigit():
        return time.time_ns() // 1000 - round(float(text[1:-1]) * units[text[-1]] * 1e6)
    if "T" in text:
        try:
            moment = datetime.fromisoformat(text)
        except ValueError:
            raise BadInput(f"{text}: is not a time") from None
        return round((moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp() * 1e6)
    return text


def span_option(text):
    """Returns a time span such as 90s or 5m in seconds, 0 for None. Raises BadInput."""
    if text is None:
        return 0.0
    units = {"s": 1, "m": 60, "h": 3600}
    if text[-1:] in units and text[:-1].replace(".", "", 1).isdigit():
        return float(text[:-1]) * units[text[-1]]
    raise BadInput(f"--hold: {text!r} is not a time span such as 90s or 5m")


def iso_time(at_us):
    """Returns microseconds since 1970 as an ISO time in UTC."""
    return datetime.fromtimestamp(at_us / 1e6, UTC).isoformat(timespec="milliseconds")


def version_data(version):
    """Returns a stored version as printed with --json."""
    table = version.table
    return {
        "slice": table.slice,
        "version": f"{table.version[0]}.{table.version[1]}",
        "digest": table.digest,
        "parent": table.parent,
        "manager": table.manager,
        "at": iso_time(version.at_us),
        "cause": version.cause,
        "lines": {line.worker: line.weight for line in table.lines},
    }


def version_text(data):
    """Returns `version_data` as a line for people."""
    lines = " ".join(f"{worker}={weight:g}" for worker, weight in data["lines"].items()) or "(no line)"
    cause = f" [{data['cause']}]" if data["cause"] else ""
    return (
        f"slice {data['slice']} {data['version']} {data['digest'][:12]} {data['at']} {data['manager']}{cause}: {lines}"
    )


def print_versions(versions, as_json):
    """Prints `version_data` of several versions, one on a line."""
    for data in versions:
        click.echo(json.dumps(data) if as_json else version_text(data))


DEPLOYMENT = click.argument("deployment", type=click.Path())
JSON = click.option("--json", "as_json", is_flag=True, help="one JSON object a line")


@click.group()
def tables():
    """Show published tables and earlier versions, verify them, bring them back."""


@tables.command("list")
@DEPLOYMENT
@JSON
def list_(deployment, as_json):
    """Show the newest version of every slice."""
    store = Store(deployment)
    print_versions(
        [version_data(store.history.newest(slice_index)) for slice_index in sorted(store.history.by_slice)], as_json
    )


@tables.command()
@DEPLOYMENT
@click.argument("slice_index", type=int, metavar="SLICE")
@click.option(
    "--version",
    "version_text",
    default=None,
    help="a version, the start of a digest, a time, or -5m for five minutes ago",
)
@JSON
def show(deployment, slice_index, version_text, as_json):
    """Show one version of a slice, by default the newest."""
    store = Store(deployment)
    version = (
        store.newest(slice_index) if version_text is None else store.find(slice_index, version_option(version_text))
    )
    print_versions([version_data(version)], as_json)


@tables.command()
@DEPLOYMENT
@click.argument("slice_index", type=int, metavar="SLICE")
@JSON
def history(deployment, slice_index, as_json):
    """Show all kept versions of a slice, oldest first."""
    store = Store(deployment)
    store.newest(slice_index)
    print_versions([version_data(version) for version in store.history.by_slice[slice_index]], as_json)


@tables.command()
@DEPLOYMENT
@click.argument("slice_index", type=int, metavar="SLICE")
@click.argument("one")
@click.argument("other")
@JSON
def diff(deployment, slice_index, one, other, as_json):
    """Show what changed from one version of a slice to another."""
    store = Store(deployment)
    old_lines, new_lines = (
        version_data(store.find(slice_index, version_option(text)))["lines"] for text in (one, other)
    )
    changes = {
        worker: [old_lines.get(worker), new_lines.get(worker)]
        for worker in sorted(old_lines.keys() | new_lines.keys())
        if old_lines.get(worker) != new_lines.get(worker)
    }
    if as_json:
        click.echo(json.dumps(changes))
    for worker, (before, after) in () if as_json else changes.items():
        click.echo(f"{worker}: {'-' if before is None else f'{before:g}'} -> {'-' if after is None else f'{after:g}'}")


@tables.command()
@DEPLOYMENT
@JSON
def verify(deployment, as_json):
    """Verify the whole history, and compare it with the tables in each proxy's files."""
    store, differences = Store(deployment), []
    newest = {slice_index: table.digest for slice_index, table in store.tables.newest.items()}
    for version in list(store.history.by_digest.values()):
        try:
            verify_table(version.table)
        except (ValueError, KeyError, TypeError, InvalidDocument, DigestMismatch) as error:
            store.tables.damage_reports.append(
                f"slice {version.slice} version {version.version[0]}.{version.version[1]}: {error}"
            )
    versions_by_digest = store.history.by_digest
    proxies_read = 0
    for proxy in store.setup.proxies:
        reader = TableReader(str(store.root / proxy.folder))
        if not reader.poll():
            if reader.last_error:
                differences.append(f"{proxy.name}: {reader.last_error}")
            continue
        proxies_read += 1
        for slice_index, (table, _, _) in sorted(reader.tables.items()):
            if table.digest not in versions_by_digest:
                differences.append(
                    f"{proxy.name}: slice {slice_index}: {table.digest[:12]} is in force and was never published"
                )
            elif table.digest != newest.get(slice_index):
                differences.append(
                    f"{proxy.name}: slice {slice_index}: holds {table.version[0]}.{table.version[1]}, an older version"
                )
    problems = store.tables.damage_reports + store.history.find_inconsistencies()
    data = {
        "versions": len(versions_by_digest),
        "slices": len(newest),
        "proxies": proxies_read,
        "problems": problems,
        "claims": differences,
    }
    if as_json:
        click.echo(json.dumps(data))
    else:
        for text in problems + differences:
            click.echo(text)
        click.echo(
            f"{len(versions_by_digest)} versions of {len(newest)} slices, files of {proxies_read} proxies: "
            f"{len(problems)} problems, {len(differences)} claims that differ"
        )
    sys.exit(6 if problems or differences else 0)


@tables.command()
@DEPLOYMENT
@click.argument("path", type=click.Path())
def export(deployment, path):
    """Write all kept versions as JSON lines to PATH, which must not exist."""
    store = Store(deployment)
    try:
        with open(path, "xb") as file:
            for stored in sorted(store.history.by_digest.values(), key=lambda stored: (stored.slice, stored.version)):
                file.write(orjson.dumps(version_data(stored)) + b"\n")
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}") from None
    click.echo(f"{path}: {len(store.history.by_digest)} versions")


@tables.command()
@DEPLOYMENT
@click.option(
    "--to", "version_text", required=True, help="a version, the start of a digest, a time, or -5m for five minutes ago"
)
@click.option(
    "--slice",
    "slice_indices",
    type=int,
    multiple=True,
    help="only this slice; may be given several times; by default all slices",
)
@click.option(
    "--hold",
    default=None,
    help="keep the version for this time (90s, 5m); meanwhile the layout of these slices does not change",
)
@click.option("--key", default=None, help="a repeated command with the same key has no second effect")
@JSON
def rollback(deployment, version_text, slice_indices, hold, key, as_json):
    """Bring an earlier version back as a new version, without workers that may not be used now."""
    store = Store(deployment)
    if not slice_indices and isinstance(version_option(version_text), str) and "." in version_text:
        raise BadInput("--to: a version needs --slice; for all slices give a time")
    to, hold_s, key = version_option(version_text), span_option(hold), key or os.urandom(8).hex()
    owners, answers = owners_of(store, slice_indices), []
    for name, slices in sorted(owners.items()):
        manager = next(entry for entry in store.setup.managers if entry.name == name)
        answers.append(
            (
                name,
                request_rollback(manager.listen.pair, name, {"to": to, "slices": slices, "hold_s": hold_s, "key": key}),
            )
        )
    returned = 0
    for _, answer in answers:
        for slice_text, result in sorted(answer["slices"].items(), key=lambda pair: int(pair[0])):
            returned += "version" in result
            if not as_json:
                click.echo(
                    f"slice {slice_text}: "
                    + (
                        f"{result['version']} {result['digest'][:12]}"
                        + (f", without {', '.join(result['without'])}" if result.get("without") else "")
                        if "version" in result
                        else f"left as it is: {result['left']}"
                    )
                )
    if as_json:
        click.echo(json.dumps({"key": key, "managers": dict(answers), "returned": returned}))
    else:
        click.echo(f"{returned} slices brought back; key {key}")


def owners_of(store, slice_indices):
    """Returns {manager: its slices among `slice_indices`}, with None for all of its slices if `slice_indices` is empty.

    Raises Failed or BadInput.
    """
    folder = store.root / store.setup.store / "custody"
    names = sorted(name for name in os.listdir(folder) if name.endswith(".json") and name[:-5].isdigit())
    if not names:
        raise Failed(f"{folder}: no manager is in charge of any slice yet", 5)
    owners = orjson.loads((folder / names[-1]).read_bytes())["owners"]
    unknown = [slice_index for slice_index in slice_indices if not 0 <= slice_index < len(owners)]
    if unknown:
        raise BadInput(f"--slice: {unknown[0]}: there are only {len(owners)} slices")
    if not slice_indices:
        return dict.fromkeys(owners)
    slices_by_owner = {}
    for slice_index in slice_indices:
        slices_by_owner.setdefault(owners[slice_index], []).append(slice_index)
    return slices_by_owner


def request_rollback(address, name, order):
    """Sends a rollback order to the manager `name` and returns its answer. Raises Failed."""
    loop, answers = Loop(), []
    client = Client(loop, address)
    client.send_request(
        "POST",
        "/v3/rollback",
        [("content-type", "application/json")],
        orjson.dumps(order),
        answers.append,
        REQUEST_TIMEOUT_US,
    )
    deadline_us = loop.now() + REQUEST_TIMEOUT_US
    while not answers and loop.now() < deadline_us:
        loop.turn(loop.now() + 100_000)
    answer = answers[0] if answers else None
    if answer is None or not answer.status:
        raise Failed(
            f"{name}: {answer.reason if answer else 'timed out'}; repeat the command with --key {order['key']}", 7
        )
    data = orjson.loads(answer.body)
    if answer.status != 200:
        raise Failed(f"{name}: {data['error']}: {data['detail']}", EXIT_CODES.get(data["error"], 7))
    return data

"""`ospreyrouter manager | proxy | standin | rehearse | deployment | tables | custody | sites`."""

import json
import os
import shutil
import sys
import tempfile
from importlib import resources
from pathlib import Path

import click

from ..deployment import deployment_schema, read_deployment, read_json
from ..manager import ManagerService
from .custody import custody
from .serve import BadInput, open_log, read_or_fail, serve
from .sites import sites
from .tables import tables


def find_by_name(entries, name, path, field):
    """Returns the entry with a name in a list of the deployment file. Raises BadInput."""
    for entry in entries:
        if entry.name == name:
            return entry
    raise BadInput(f"{path}: {field}: {name!r} is not among them")


@click.group()
@click.version_option(package_name="ospreyrouter")
def main():
    """Assign servers to proxies by publishing tables of shares."""


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="name of this manager in the deployment file")
@click.option("--seed", type=int, default=None, help="seed of the random numbers; random by default")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def manager(deployment, name, seed, log_level):
    """Run one manager of a deployment."""
    setup = read_or_fail(read_deployment, deployment)
    find_by_name(setup.managers, name, deployment, "managers")
    seed = int.from_bytes(os.urandom(4), "big") if seed is None else seed
    log = open_log(log_level)
    folder = str(Path(deployment).parent / setup.store)
    service = serve(
        lambda loop, calls: ManagerService(loop, setup, name, folder, calls, log, seed), log, name, setup.flush
    )
    log.info("figures", manager=name, **service.figures())


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="name of the proxy in the deployment file")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def agent(deployment, name, log_level):
    """Run the file agent beside a proxy that reads the table files itself."""
    from ..files import FileAgent

    setup = read_or_fail(read_deployment, deployment)
    proxy_settings = find_by_name(setup.proxies, name, deployment, "proxies")
    log = open_log(log_level)
    folder = str(Path(deployment).parent / proxy_settings.folder)
    serve(lambda loop, calls: FileAgent(loop, setup, proxy_settings, folder, calls, log), log, name, setup.flush)


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="name of this proxy in the deployment file")
@click.option("--port", type=int, default=0, help="port for clients")
@click.option("--control", type=int, default=None, help="port on which a rehearsal injects faults")
@click.option("--journal", type=click.Path(), default=None, help="file in which events are recorded")
@click.option("--seed", default="1")
def proxy(deployment, name, port, control, journal, seed):
    """Run a stand-in proxy with its file agent."""
    from ..rehearse.play import TeeLog
    from ..standins import Journal, Proxy
    from ..standins.control import ControlledService

    setup = read_or_fail(read_deployment, deployment)
    proxy_settings = find_by_name(setup.proxies, name, deployment, "proxies")
    log = open_log()
    folder = str(Path(deployment).parent / proxy_settings.folder)

    def build(loop, calls):
        journal_writer = Journal(loop, journal, unbuffered=True)
        service = Proxy(
            loop, setup, name, folder, ("127.0.0.1", port), journal_writer, TeeLog(journal_writer, log), seed, calls
        )
        return ControlledService(loop, service, control, journal_writer)

    serve(build, log, name, setup.flush)


@main.group()
def standin():
    """Run the stand-ins of a rehearsal: workers, worker list, balancers, clients."""


def standin_command(name):
    """Adds the command of a stand-in: "workers", "list", "balancers" or "clients"."""

    @standin.command(name)
    @click.argument("stage", type=click.Path())
    @click.option("--journal", type=click.Path(), required=True)
    @click.option("--control", type=int, required=True)
    @click.option("--start-us", type=int, default=0, help="start of the traffic in us, on the monotonic clock")
    def run(stage, journal, control, start_us):
        from ..rehearse.play import balancer_entries
        from ..rehearse.processes import read_environment
        from ..standins import Balancers, Clients, Journal, WorkerListService, Workers
        from ..standins.control import ControlledService

        day, setup, specs, ports = read_environment(stage)
        log = open_log()

        def build(loop):
            journal_writer = Journal(loop, journal)
            if name == "workers":
                service = Workers(loop, setup, specs, journal_writer, day.seed, day.fleet.spare)
            elif name == "list":
                service = WorkerListService(
                    loop, setup, specs, journal_writer, round(day.fleet.list_notice_s * 1e6), day.fleet.spare
                )
            elif name == "balancers":
                addresses = [("127.0.0.1", port) for port in ports["balancers"]]
                service = Balancers(loop, setup, specs, addresses, journal_writer, day.seed)
            else:
                proxies = [
                    (entry.name, entry.zone, ("127.0.0.1", ports["proxies"][index]))
                    for index, entry in enumerate(setup.proxies)
                ]
                proxies += balancer_entries([("127.0.0.1", port) for port in ports["balancers"]])
                traffic = day.traffic.model_copy(update={"seconds": day.seconds})
                service = Clients(loop, setup, traffic, proxies, journal_writer, day.seed, start_us)
            return ControlledService(loop, service, control, journal_writer)

        serve(build, log, name)

    run.__doc__ = f"Run the stand-in {name} of a rehearsal, by its stage file."


for part_name in ("workers", "list", "balancers", "clients"):
    standin_command(part_name)


@main.command()
@click.argument("day", type=click.Path(), required=False)
@click.option("--json", "as_json", is_flag=True, help="print the account as one JSON object on the last line")
@click.option("--virtual", is_flag=True, help="run in virtual time within this process")
@click.option("--folder", type=click.Path(), default=None, help="keep files, logs and journals in this folder")
@click.option("--seconds", type=float, default=None, help="end the day early")
@click.option("--bench-day", type=click.Path(), default=None, help="a day in the format of the operators' bench")
@click.option("--schema", is_flag=True, help="print the JSON schema of a day and exit")
def rehearse(day, as_json, virtual, folder, seconds, bench_day, schema):
    """Run a day on loopback sockets and check the rules from what was recorded; by default the bad day."""
    from ..rehearse import Day, day_schema, play_on_sockets, play_virtually
    from ..rehearse.bench_day import read_bench_day

    if schema:
        click.echo(json.dumps(day_schema(), indent=1))
        return
    unplayed = []
    if bench_day is not None:
        plan, unplayed = read_or_fail(read_bench_day, bench_day)
    else:
        path = day or resources.files("ospreyrouter.rehearse") / "bad-day.json"
        plan = read_or_fail(read_json, path, Day)
    if seconds is not None:
        plan = plan.model_copy(
            update={
                "seconds": seconds,
                "troubles": [trouble for trouble in plan.troubles if trouble.at_s + trouble.for_s <= seconds],
            }
        )
    for text in unplayed:
        click.echo(f"not playable here: {text}", err=True)
    keep_folder = folder is not None
    folder = folder or tempfile.mkdtemp(prefix="rehearsal-")
    try:
        if virtual:
            account, _ = play_virtually(plan, folder)
        else:
            account, _ = play_on_sockets(plan, folder, lambda text: click.echo(text, err=as_json))
    finally:
        if not keep_folder:
            shutil.rmtree(folder, ignore_errors=True)
    account["unplayed"] = unplayed
    good = (
        all(rule["checked"] > 0 and not rule["broken"] for rule in account["rules"].values())
        and not account["torn_reads"]
    )
    if not as_json:
        print_account(plan, account)
    click.echo(json.dumps(account) if as_json else ("all rules kept" if good else "NOT all rules checked and kept"))
    sys.exit(0 if good else 1)


def print_account(day, account):
    """Prints the account of a rehearsal as text."""
    click.echo(f"{day.name}: {account['transactions']} transactions in {day.seconds:.0f} s (simulated workers)")
    click.echo(f"service {account['service']:.4f} (utility fulfilled over asked)")
    for name, count in account["classes"].items():
        click.echo(
            f"  {name}: {count['asked']} asked, {count['in time']} in time, {count['late']} late, {count['not']} not"
        )
    click.echo(f"files: {account['swaps']} swaps, {account['torn_reads']} torn reads")
    for name, count in account["rules"].items():
        click.echo(f"  {name}: {count['checked']} checked, {count['broken']} broken")
    for name, texts in account["broken"].items():
        for text in texts:
            click.echo(f"  ! {name}: {text}")


main.add_command(tables)
main.add_command(custody)
main.add_command(sites)


@main.group()
def deployment():
    """Check a deployment file, or print the schema."""


@deployment.command()
@click.argument("path", type=click.Path())
def check(path):
    """Check whether a deployment file can be used."""
    setup = read_or_fail(read_deployment, path)
    click.echo(f"{path}: good: {len(setup.managers)} managers, {len(setup.proxies)} proxies, {setup.slices} slices")


@deployment.command()
def schema():
    """Print the JSON schema of deployment files."""
    click.echo(json.dumps(deployment_schema(), indent=1))

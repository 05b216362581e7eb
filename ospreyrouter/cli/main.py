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
from .serve import BadInput, checked, open_log, serve
from .sites import sites
from .tables import tables


def named(rows, name, path, what):
    for row in rows:
        if row.name == name:
            return row
    raise BadInput(f"{path}: {what}: {name!r} is not among them")


@click.group()
@click.version_option(package_name="ospreyrouter")
def main():
    """A table manager: assigns servers to plain proxies and publishes tables of shares."""


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="which of the deployment's managers this is")
@click.option("--seed", type=int, default=None, help="of its random numbers; drawn where none is given")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def manager(deployment, name, seed, log_level):
    """Run one manager of a deployment."""
    setup = checked(read_deployment, deployment)
    named(setup.managers, name, deployment, "managers")
    seed = int.from_bytes(os.urandom(4), "big") if seed is None else seed
    log = open_log(log_level)
    folder = str(Path(deployment).parent / setup.store)
    service = serve(
        lambda loop, calls: ManagerService(loop, setup, name, folder, calls, log, seed), log, name, setup.flush
    )
    log.info("figures", manager=name, **service.figures())


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="which of the deployment's proxies this stands beside")
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info")
def agent(deployment, name, log_level):
    """Run the file agent beside a proxy that reads the files by itself."""
    from ..files import FileAgent

    setup = checked(read_deployment, deployment)
    place = named(setup.proxies, name, deployment, "proxies")
    log = open_log(log_level)
    folder = str(Path(deployment).parent / place.folder)
    serve(lambda loop, calls: FileAgent(loop, setup, place, folder, calls, log), log, name, setup.flush)


@main.command()
@click.argument("deployment", type=click.Path())
@click.option("--name", required=True, help="which of the deployment's proxies this is")
@click.option("--port", type=int, default=0, help="where clients reach it")
@click.option("--control", type=int, default=None, help="port for the troubles of a rehearsal")
@click.option("--journal", type=click.Path(), default=None, help="file that gets what passed on its sockets")
@click.option("--seed", default="1")
def proxy(deployment, name, port, control, journal, seed):
    """Run a stand-in proxy with the file agent beside it."""
    from ..rehearse.play import TeeLog
    from ..standins import Journal, Proxy
    from ..standins.control import Controlled

    setup = checked(read_deployment, deployment)
    place = named(setup.proxies, name, deployment, "proxies")
    log = open_log()
    folder = str(Path(deployment).parent / place.folder)

    def build(loop, calls):
        rows = Journal(loop, journal, at_once=True)
        one = Proxy(loop, setup, name, folder, ("127.0.0.1", port), rows, TeeLog(rows, log), seed, calls)
        return Controlled(loop, one, control, rows)

    serve(build, log, name, setup.flush)


@main.group()
def standin():
    """Stand-ins of a rehearsal: workers, list, clients."""


def standin_command(name):
    @standin.command(name)
    @click.argument("stage", type=click.Path())
    @click.option("--journal", type=click.Path(), required=True)
    @click.option("--control", type=int, required=True)
    @click.option("--start-us", type=int, default=0, help="when traffic begins, on the machine's monotonic clock")
    def run(stage, journal, control, start_us):
        from ..rehearse.play import balancer_rows
        from ..rehearse.processes import stage_of
        from ..standins import Balancers, Clients, Journal, WorkerListService, Workers
        from ..standins.control import Controlled

        day, setup, specs, ports = stage_of(stage)
        log = open_log()

        def build(loop):
            rows = Journal(loop, journal)
            if name == "workers":
                part = Workers(loop, setup, specs, rows, day.seed, day.fleet.spare)
            elif name == "list":
                part = WorkerListService(
                    loop, setup, specs, rows, round(day.fleet.list_notice_s * 1e6), day.fleet.spare
                )
            elif name == "balancers":
                places = [("127.0.0.1", port) for port in ports["balancers"]]
                part = Balancers(loop, setup, specs, places, rows, day.seed)
            else:
                proxies = [
                    (row.name, row.zone, ("127.0.0.1", ports["proxies"][k])) for k, row in enumerate(setup.proxies)
                ]
                proxies += balancer_rows([("127.0.0.1", port) for port in ports["balancers"]])
                traffic = day.traffic.model_copy(update={"seconds": day.seconds})
                part = Clients(loop, setup, traffic, proxies, rows, day.seed, start_us)
            return Controlled(loop, part, control, rows)

        serve(build, log, name)

    run.__doc__ = f"The stand-in {name} of a rehearsal's stage file."


for part_name in ("workers", "list", "balancers", "clients"):
    standin_command(part_name)


@main.command()
@click.argument("day", type=click.Path(), required=False)
@click.option("--json", "as_json", is_flag=True, help="the account as one JSON object on the last line")
@click.option("--virtual", is_flag=True, help="in virtual time, within this process")
@click.option("--folder", type=click.Path(), default=None, help="keeps files, logs and journals there")
@click.option("--seconds", type=float, default=None, help="cuts the day short")
@click.option("--bench-day", type=click.Path(), default=None, help="a day as the operators' bench draws it")
@click.option("--schema", is_flag=True, help="print the JSON schema of a day and stop")
def rehearse(day, as_json, virtual, folder, seconds, bench_day, schema):
    """Play a day on loopback sockets and check the rules from what passed. Without a day: the bad day."""
    from ..rehearse import Day, day_schema, play_on_sockets, play_virtually
    from ..rehearse.bench_day import read_bench_day

    if schema:
        click.echo(json.dumps(day_schema(), indent=1))
        return
    unplayed = []
    if bench_day is not None:
        plan, unplayed = checked(read_bench_day, bench_day)
    else:
        path = day or resources.files("ospreyrouter.rehearse") / "bad-day.json"
        plan = checked(read_json, path, Day)
    if seconds is not None:
        plan = plan.model_copy(
            update={"seconds": seconds, "troubles": [row for row in plan.troubles if row.at_s + row.for_s <= seconds]}
        )
    for text in unplayed:
        click.echo(f"not playable here: {text}", err=True)
    kept = folder is not None
    folder = folder or tempfile.mkdtemp(prefix="rehearsal-")
    try:
        if virtual:
            account, _ = play_virtually(plan, folder)
        else:
            account, _ = play_on_sockets(plan, folder, lambda text: click.echo(text, err=as_json))
    finally:
        if not kept:
            shutil.rmtree(folder, ignore_errors=True)
    account["unplayed"] = unplayed
    good = (
        all(row["checked"] > 0 and not row["broken"] for row in account["rules"].values()) and not account["torn_reads"]
    )
    if not as_json:
        tell(plan, account)
    click.echo(json.dumps(account) if as_json else ("all rules kept" if good else "NOT all rules checked and kept"))
    sys.exit(0 if good else 1)


def tell(day, account):
    """The account as people read it."""
    click.echo(f"{day.name}: {account['transactions']} transactions in {day.seconds:.0f} s (simulated workers)")
    click.echo(f"service {account['service']:.4f} (utility fulfilled over asked)")
    for name, row in account["classes"].items():
        click.echo(f"  {name}: {row['asked']} asked, {row['in time']} in time, {row['late']} late, {row['not']} not")
    click.echo(f"files: {account['swaps']} swaps, {account['torn_reads']} torn reads")
    for name, row in account["rules"].items():
        click.echo(f"  {name}: {row['checked']} checked, {row['broken']} broken")
    for name, texts in account["broken"].items():
        for text in texts:
            click.echo(f"  ! {name}: {text}")


main.add_command(tables)
main.add_command(custody)
main.add_command(sites)


@main.group()
def deployment():
    """Check a deployment file, or print its schema."""


@deployment.command()
@click.argument("path", type=click.Path())
def check(path):
    """Say whether a deployment file can be used."""
    setup = checked(read_deployment, path)
    click.echo(f"{path}: good: {len(setup.managers)} managers, {len(setup.proxies)} proxies, {setup.slices} slices")


@deployment.command()
def schema():
    """Print the JSON schema of deployment files."""
    click.echo(json.dumps(deployment_schema(), indent=1))

"""`ospreyrouter sites`: shows the state of sites, the load they carry for each other and what losing one would cost;
holds sites out by hand.

`show` and `plan` ask managers, `hold` and `release` write the store. Exit codes: 0 success, 2 invalid input, 6 orders
or an epoch cannot be read, 7 no manager answered, 8 capacities are not known yet.
"""

import json
from statistics import median

import click
import orjson

from ..loop import Loop
from ..sites.spill import admission_levels, plan_spill
from ..web import Client
from .custody import StoreClient, add_hold_commands
from .serve import BadInput

REQUEST_TIMEOUT_US = 3_000_000


class ManagersUnreachable(BadInput):
    """No manager answered."""

    exit_code = 7


class CapacitiesUnknown(BadInput):
    """No manager has learned the capacities of workers yet."""

    exit_code = 8


def query_managers(store, path):
    """Returns the report on sites of each manager that answers. Raises ManagersUnreachable."""
    loop, reports = Loop(), []
    for manager in store.setup.managers:
        answers = []
        Client(loop, manager.listen.pair).send_request("GET", "/v3/sites", [], b"", answers.append, REQUEST_TIMEOUT_US)
        deadline_us = loop.now() + REQUEST_TIMEOUT_US
        while not answers and loop.now() < deadline_us:
            loop.turn(loop.now() + 10_000)
        if answers and answers[0].status == 200:
            reports.append(orjson.loads(answers[0].body))
    if not reports:
        raise ManagersUnreachable(f"{path}: managers: none answered")
    return reports


@click.group()
def sites():
    """Show sites and their load, plan for lost sites, hold sites out and release them."""


@sites.command("show")
@click.argument("path", type=click.Path())
@click.option("--json", "as_json", is_flag=True)
def show_sites(path, as_json):
    """Show each site as every manager sees it, with admitted, refused and spilled load."""
    store = StoreClient(path)
    store.orders()
    reports = query_managers(store, path)
    if as_json:
        click.echo(json.dumps(reports))
        return
    for report in reports:
        click.echo(report["manager"])
        for name, site in report["sites"].items():
            answered = "nothing known" if site["answered"] is None else f"{site['answered']:.2f} answered"
            click.echo(
                f"  {name}: {site['state']}{' (not seen from here)' if site['blind'] else ''}, {answered}, "
                f"{site['carried_per_s']:.1f} tries a second, limit {site['limit']:.2f}, "
                f"able to {site['able_per_s']:.0f} of {site['usual_per_s']:.0f} a second"
            )
            for class_name, count in site["classes"].items():
                if count["refused"]:
                    click.echo(f"    {class_name}: {count['asked']:.0f} asked there, {count['refused']:.0f} refused")
        for spill in report["spilled"]:
            click.echo(f"  {spill['from']} to {spill['to']}: {spill['per_s']:.1f} a second, {spill['sum']:.0f} in all")
        for class_name, level in report["bounds"].items():
            if level < 1:
                click.echo(f"  {class_name}: at most {level:.2f} let in, as sites left cannot carry more")


@sites.command("plan")
@click.argument("path", type=click.Path())
@click.option(
    "--lose",
    multiple=True,
    required=True,
    metavar="SITE",
    help="a site that is assumed to be lost; may be given several times",
)
@click.option(
    "--need",
    type=click.FloatRange(0.0, 1e9, min_open=True),
    default=None,
    help="transactions a second that are requested in all; by default what managers see now",
)
@click.option("--json", "as_json", is_flag=True)
def plan_sites(path, lose, need, as_json):
    """Show what the other sites would carry if sites were lost.

    Uses the tiers and reserves of the deployment file and the capacities that managers have learned of the workers.
    Asks managers, changes nothing.
    """
    store = StoreClient(path)
    setup = store.setup
    for name in lose:
        if name not in setup.zones:
            raise BadInput(f"{path}: zones: has no {name!r}")
    reports = query_managers(store, path)
    usual = {site: median(report["sites"][site]["usual_per_s"] for report in reports) for site in setup.zones}
    if not sum(usual.values()):
        raise CapacitiesUnknown(
            f"{path}: managers: none has learned the capacities of workers yet: "
            "load reports with utilization and throughput are needed"
        )
    needs = [report["need_per_s"] for report in reports if report["need_per_s"]]
    need = need if need is not None else median(needs) if needs else 0.0
    capacity = {site: 0.0 if site in lose else usual[site] for site in setup.zones}
    plan = plan_spill(need, usual, capacity, setup.tiers(), setup.reserves_by_site())
    total = sum(sum(report["classes_per_s"].values()) for report in reports)
    demand = {
        class_settings.name: need
        * sum(manager_report["classes_per_s"].get(class_settings.name, 0.0) for manager_report in reports)
        / total
        if total
        else 0.0
        for class_settings in setup.classes
    }
    mean = (
        sum(demand[class_settings.name] * class_settings.quoted_s for class_settings in setup.classes) / need
        if total and need
        else 1.0
    )
    let_in = admission_levels(
        demand,
        {class_settings.name: class_settings.quoted_s / mean for class_settings in setup.classes},
        {class_settings.name: class_settings.utility / class_settings.quoted_s for class_settings in setup.classes},
        plan.carried,
    )
    result = {
        "need_per_s": round(need, 1),
        "carried_per_s": round(plan.carried, 1),
        "refused_part": round(1 - plan.carried / need, 4) if need else 0.0,
        "sites": {
            site: {
                "usual_per_s": round(usual[site], 1),
                "load_per_s": round(plan.load[site], 1),
                "of_what_it_can": round(plan.load[site] / capacity[site], 3) if capacity[site] else None,
            }
            for site in setup.zones
        },
        "spilled": [
            {"from": origin, "to": target, "per_s": round(amount, 1)}
            for (origin, target), amount in plan.spilled.items()
        ],
        "let_in": {class_name: round(level, 3) for class_name, level in let_in.items()} if total else None,
    }
    if as_json:
        click.echo(json.dumps(result))
        return
    click.echo(f"{need:.1f} a second are asked for, {plan.carried:.1f} could be carried without {', '.join(lose)}")
    for site, figures in result["sites"].items():
        full = "lost" if figures["of_what_it_can"] is None else f"{figures['of_what_it_can']:.2f} of what it can do"
        click.echo(f"  {site}: {figures['load_per_s']} a second, {full}")
    for spill in result["spilled"]:
        click.echo(f"  {spill['from']} to {spill['to']}: {spill['per_s']} a second")
    for class_name, level in (result["let_in"] or {}).items():
        click.echo(f"  {class_name}: {level:.2f} let in")


add_hold_commands(
    sites,
    "sites",
    "site",
    "its workers drain within the grace and get nothing until it is released",
    "it may be used again, as far as the worker list and its state allow",
)

"""Writes variants of the operators' site into `deploy/sites/`: other class names, shares, limits, deadlines and costs.

    python deploy/variants.py FOLDER SITE.toml      # the folder holds the site and what is named in BESIDE

What only holds for one deployment fails there. The folder holds what belongs to the operators and is not committed.
"""

import re
import shutil
import sys
from pathlib import Path

# By variant: what is set in place of the site's own, by table (of a name, where it has several) and key.
VARIANTS = {
    "parcels": {
        "": {"name": '"parcels"'},
        "load": {"quiet": "[0.4, 0.48]", "trouble": "[0.42, 0.52]", "zone_skew": "[0.3, 0.4]"},
        "rules": {"drain_grace_ms": "3000", "fall_multiple": "2.5", "fall_ms": "1200"},
        "prices": {"cross_zone": "0.03", "waste": "0.02", "probe": "0.08", "connection": "0.04", "handshake": "0.01"},
        "class stock-check": {
            "name": '"track"',
            "share": "[0.3, 0.4]",
            "work_ms": "[150, 200]",
            "aim_ms": "900",
            "deadline_ms": "2500",
            "worth": "2",
        },
        "class order-commit": {
            "name": '"label-print"',
            "share": "[0.6, 0.7]",
            "work_ms": "[250, 310]",
            "aim_ms": "1800",
            "deadline_ms": "5000",
            "worth": "1",
            "window_ms": "5000",
        },
        "fam": {
            "lines_per_s": "[11000, 14000]",
            "head": "10",
            "late_ms": "[80, 250]",
            "backlog_ms": "1400",
            "period_s": "0.8",
            "intake_per_s": "220",
            "order_price": "0.02",
            "slices_per_server": "[3, 5]",
        },
    },
    "lending": {
        "": {"name": '"lending"'},
        "load": {"overload": "[0.9, 1.1]", "swing": "[0.2, 0.3]"},
        "rules": {"drain_grace_ms": "1800", "fall_multiple": "3.5", "fall_ms": "2000"},
        "prices": {"cross_zone": "0", "waste": "0.16", "late_fail": "0.08", "handshake": "0.08"},
        "class stock-check": {
            "name": '"Look_Up.v2"',
            "share": "[0.45, 0.55]",
            "work_ms": "[260, 340]",
            "aim_ms": "2000",
            "deadline_ms": "4000",
            "worth": "1",
            "late_worth": "0.5",
        },
        "class order-commit": {
            "name": '"reserve"',
            "share": "[0.45, 0.55]",
            "work_ms": "[180, 240]",
            "aim_ms": "1000",
            "deadline_ms": "3000",
            "worth": "5",
            "late_worth": "0",
        },
        "fam": {
            "lines_per_s": "[7000, 8500]",
            "head": "20",
            "late_ms": "[200, 480]",
            "backlog_ms": "900",
            "period_s": "0.4",
            "intake_per_s": "120",
            "slices_per_server": "[6, 9]",
            "move_price": "0.03",
        },
    },
}
BESIDE = ("real.json", "wire.json", "unlock.txt", "design.json")


def varied(text, changes):
    """The site's text with each of the changes made; one that finds no place is an error."""
    table, done, lines = "", set(), text.splitlines()
    for place, line in enumerate(lines):
        head = re.fullmatch(r"\[+([\w.]+)\]+", line.strip())
        if head:
            table = head[1]
        key, _, value = (part.strip() for part in line.partition("="))
        if key == "name" and table == "class":
            table = f"class {value.strip(chr(34))}"
        if key in changes.get(table, {}):
            lines[place] = f"{key} = {changes[table][key]}"
            done.add((table, key))
    missing = {(table, key) for table, keys in changes.items() for key in keys} - done
    if missing:
        raise SystemExit(f"variants: the site has no {sorted(missing)}")
    return "\n".join(lines) + "\n"


def main(folder, name):
    source, target = Path(folder), Path(__file__).parent / "sites"
    target.mkdir(exist_ok=True)
    for file in BESIDE:
        shutil.copyfile(source / file, target / file)
    for variant, changes in VARIANTS.items():
        (target / f"{variant}.toml").write_text(varied((source / name).read_text(), changes))
        print(target / f"{variant}.toml")


if __name__ == "__main__":
    main(*sys.argv[1:])

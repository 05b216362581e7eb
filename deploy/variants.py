"""Writes variants of a site file to `deploy/sites/`, with other class names, shares, limits, deadlines and costs.

    python deploy/variants.py FOLDER SITE.toml      # FOLDER contains SITE.toml and the files in COPIED_FILES

A program that is fitted to a single deployment fails on them. The files in FOLDER belong to the operators and are not
committed.
"""

import re
import shutil
import sys
from pathlib import Path

# {variant: {table: {key: value that replaces the site's own}}}. A `[[class]]` table is identified by its
# name, as in "class order-commit". The values are TOML.
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
COPIED_FILES = ("real.json", "wire.json", "unlock.txt", "design.json")


def apply_changes(text, changes):
    """Returns the text of the site file with `changes` applied; exits with an error if a key does not exist."""
    table, applied, lines = "", set(), text.splitlines()
    for line_number, line in enumerate(lines):
        header = re.fullmatch(r"\[+([\w.]+)\]+", line.strip())
        if header:
            table = header[1]
        key, _, value = (part.strip() for part in line.partition("="))
        if key == "name" and table == "class":
            table = f"class {value.strip(chr(34))}"
        if key in changes.get(table, {}):
            lines[line_number] = f"{key} = {changes[table][key]}"
            applied.add((table, key))
    missing = {(table, key) for table, keys in changes.items() for key in keys} - applied
    if missing:
        raise SystemExit(f"variants: the site file has no keys {sorted(missing)}")
    return "\n".join(lines) + "\n"


def main(folder, site_name):
    """Writes all variants of the site file `site_name` in `folder` and prints their paths."""
    source_folder, target_folder = Path(folder), Path(__file__).parent / "sites"
    target_folder.mkdir(exist_ok=True)
    for file_name in COPIED_FILES:
        shutil.copyfile(source_folder / file_name, target_folder / file_name)
    for variant, changes in VARIANTS.items():
        (target_folder / f"{variant}.toml").write_text(apply_changes((source_folder / site_name).read_text(), changes))
        print(target_folder / f"{variant}.toml")


if __name__ == "__main__":
    main(*sys.argv[1:])

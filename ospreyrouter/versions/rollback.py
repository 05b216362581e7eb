"""Rollback: computes the lines of a new version from an earlier one. No I/O.

lines, left_out = restorable_lines(old_table, is_usable, current_lines)
"""


def restorable_lines(old_table, is_usable, current_lines):
    """Returns (lines, left out worker names): the lines of `old_table` without workers that may not be used now.

    `is_usable(worker)` is false for workers that drain, are gone, or are cold beyond their bound. `current_lines` are
    the lines in force; the address (host, port) and zone of a worker are taken from them, as they are more recent.
    Without any usable worker the lines are empty, and the version cannot be restored.
    """
    current_by_worker = {line.worker: line for line in current_lines}
    lines, left_out = [], []
    for line in old_table.lines:
        if not is_usable(line.worker):
            left_out.append(line.worker)
            continue
        current = current_by_worker.get(line.worker, line)
        lines.append(type(line)(line.worker, current.host, current.port, current.zone, line.weight))
    return tuple(lines), left_out

"""Deals rows out to columns at least total cost: `columns = assign(costs)` for a square table of costs.

Shortest augmenting paths with potentials (Kuhn, Munkres; the form of Jonker and Volgenant). In plain Python, for the
tables dealt out here are as small as a group of like servers: importing a numeric library for this one call took
most of a manager's memory and of its time to start.
"""

INFINITE = float("inf")


def assign(costs):
    """The column of each row."""
    size = len(costs)
    row_price, column_price = [0.0] * size, [0.0] * size
    row_of, column_of = [-1] * size, [-1] * size
    for start in range(size):
        reach, before, done = [INFINITE] * size, [-1] * size, [False] * size
        rows, row, lowest, free = [start], start, 0.0, -1
        while free < 0:
            base, line, best, nearest = lowest - row_price[row], costs[row], INFINITE, -1
            for column in range(size):
                if done[column]:
                    continue
                along = base + line[column] - column_price[column]
                if along < reach[column]:
                    reach[column], before[column] = along, row
                # Of columns that are equally near a free one ends the search.
                if reach[column] < best or reach[column] == best and row_of[column] < 0 <= row_of[nearest]:
                    best, nearest = reach[column], column
            lowest, done[nearest] = best, True
            if row_of[nearest] < 0:
                free = nearest
            else:
                row = row_of[nearest]
                rows.append(row)
        row_price[start] += lowest
        for row in rows[1:]:
            row_price[row] += lowest - reach[column_of[row]]
        for column in range(size):
            if done[column]:
                column_price[column] -= lowest - reach[column]
        column = free
        while column >= 0:
            row = before[column]
            row_of[column] = row
            column_of[row], column = column, column_of[row]
            if row == start:
                break
    return column_of

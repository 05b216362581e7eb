"""Solves the assignment problem: `columns = assign(costs)` for a square matrix of costs, at minimum total cost.

Shortest augmenting paths with potentials (Kuhn-Munkres in the form of Jonker and Volgenant). It is written in plain
Python because the matrices are small, one row for each server of a group of similar ones, and importing a numeric
library for this one call took most of a manager's memory and of its start-up time.
"""

INFINITE = float("inf")


def assign(costs):
    """The column assigned to each row, as a list by row; `costs[row][column]` are numbers."""
    size = len(costs)
    row_price, column_price = [0.0] * size, [0.0] * size
    row_of, column_of = [-1] * size, [-1] * size
    for start in range(size):
        # Dijkstra's algorithm from row `start` to the nearest column that is still free.
        distance, previous_row, done = [INFINITE] * size, [-1] * size, [False] * size
        rows, row, lowest, free = [start], start, 0.0, -1
        while free < 0:
            base, row_costs, best, nearest = lowest - row_price[row], costs[row], INFINITE, -1
            for column in range(size):
                if done[column]:
                    continue
                candidate = base + row_costs[column] - column_price[column]
                if candidate < distance[column]:
                    distance[column], previous_row[column] = candidate, row
                # Among equally near columns a free one is preferred, as it ends the search.
                if distance[column] < best or distance[column] == best and row_of[column] < 0 <= row_of[nearest]:
                    best, nearest = distance[column], column
            lowest, done[nearest] = best, True
            if row_of[nearest] < 0:
                free = nearest
            else:
                row = row_of[nearest]
                rows.append(row)
        # Prices are updated so that the reduced costs of assigned pairs stay 0 and all others stay non-negative.
        row_price[start] += lowest
        for row in rows[1:]:
            row_price[row] += lowest - distance[column_of[row]]
        for column in range(size):
            if done[column]:
                column_price[column] -= lowest - distance[column]
        # The assignment is flipped along the path from the free column back to `start`.
        column = free
        while column >= 0:
            row = previous_row[column]
            row_of[column] = row
            column_of[row], column = column, column_of[row]
            if row == start:
                break
    return column_of

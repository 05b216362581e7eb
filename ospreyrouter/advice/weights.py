"""Converts shares to integer weights whose sum is always TOTAL_WEIGHT; a small change moves no other weight.

weights = apportion_weights({worker: share}, previous={worker: weight before})
"""

TOTAL_WEIGHT = 10_000  # sum of the weights of a group; SASP weights are 16 bits


def apportion_weights(shares, previous=None, total_weight=TOTAL_WEIGHT):
    """Returns integer weights in proportion to `shares` (above 0), at least 1 each, by largest remainder.

    A previous weight that is within one unit of the exact value is kept, so rounding alone moves no weight. Raises
    ValueError if there are more members than `total_weight`.
    """
    if not shares:
        return {}
    share_sum = sum(shares.values())
    exact = {name: share / share_sum * total_weight for name, share in shares.items()}
    if len(shares) > total_weight:
        raise ValueError(f"{len(shares)} members cannot share integer weights that sum up to {total_weight}")
    weights = {}
    for name, value in exact.items():
        before = (previous or {}).get(name)
        weights[name] = before if before and abs(before - value) < 1.0 else max(1, int(value))
    remainder = total_weight - sum(weights.values())
    # Largest remainder: missing units go to the weights furthest below their exact value, surplus units come off those
    # furthest above it, never below 1. Names break ties, so equal input gives equal output.
    while remainder:
        step = 1 if remainder > 0 else -1
        candidates = sorted(
            (name for name in weights if weights[name] + step >= 1),
            key=lambda name: (step * (weights[name] - exact[name]), name),
        )
        for name in candidates[: abs(remainder)]:
            weights[name] += step
        remainder = total_weight - sum(weights.values())
    return weights

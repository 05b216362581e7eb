"""Settings of a small deployment: the sample of the wire page for `tas-orders`, in the form of a configuration file."""

CLASSES = ("stock-check", "order-commit")
CLASS_SHARES = (0.72, 0.28)
ZONES = ("moonah", "launceston", "burnie")


def make_settings(managers, number, slices, proxies, **family):
    """The settings of manager `number`; `family` overrides keys of `FamilyInfo`."""
    return {
        "Azs": list(ZONES),
        "Balancers": managers,
        "Bounds": {"ConnIdleS": 15.0, "ConnectTimeoutS": 0.3, "CpuUsPerS": 460584, "Peers": False, "Probes": True},
        "Discovery": "push",
        "Family": "control",
        "FamilyInfo": {
            "BlackholeS": 2.3,
            "CountedOverS": 10.0,
            "EgressPerS": 8300.0,
            "HoldS": 0.5,
            "InFlightMaxS": 4.02,
            "InitialSet": 6,
            "LbMethod": "random",
            "LocalFirst": False,
            "OutlierAfter": 8,
            "Overhead": 16.0,
            "PartitionsN": slices,
            "PeriodS": 0.5,
            "ProxyCount": proxies,
            "PushDelayS": 0.181,
            "QueueCap": 8300.0,
            "ReportsPerS": 150.0,
            "RetryDefault": 1,
            "SoleOwner": False,
            "StaysLocal": [False, False],
            "ThrottleBy": "fraction",
            "TransitMaxS": 0.4525,
            "TryFactor": 1.2,
            "UpdateCap": 0,
            "WarmKeys": True,
            "WriteLeaseS": 2.5,
            "Writers": [False, True],
        }
        | family,
        "Flavors": ["std-4core"],
        "Lanes": [
            {
                "DedupScope": "all",
                "Gain": 1.0,
                "GiveUpS": 3.0,
                "GoalTimeS": 1.2,
                "LateWorth": 0.2,
                "MemorySpanS": 5.0,
                "Name": CLASSES[0],
                "Repeat": "idempotent",
            },
            {
                "DedupScope": "cell",
                "Gain": 3.0,
                "GiveUpS": 4.0,
                "GoalTimeS": 1.2,
                "LateWorth": 0.1,
                "MemorySpanS": 4.0,
                "Name": CLASSES[1],
                "Repeat": "deduplicated",
            },
        ],
        "Me": number,
        "Reporting": {"Fields": ["utilization", "throughput"], "How": "inline"},
        "Rules": {
            "ColdFrom": 0.2,
            "ColdS": 17.0,
            "DrainGraceS": 2.0,
            "FallMultiple": 3.0,
            "FallS": 1.5,
            "FullMayHaveRun": True,
        },
        "TickS": 0.005,
        "Weights": "off",
        "WorthBy": "request",
        "Zone": ZONES[number % len(ZONES)],
    }

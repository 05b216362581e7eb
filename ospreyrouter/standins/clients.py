"""Stand-in clients: send transactions by class and key at a given rate, try again, and record the outcome of each."""

from collections import defaultdict
from itertools import accumulate
from random import Random

from ..web import Client
from .front import Front
from .reporters import FloodSender


class Clients:
    """All clients of a day; their transactions arrive as a Poisson process from `start_us` on.

    `traffic` is a Traffic whose `seconds` are set, `proxies` a list of (name, zone, address) of proxies and balancers.
    Writes a row `transaction` for each transaction, when it has been answered or has failed for good.
    """

    def __init__(self, loop, setup, traffic, proxies, journal, seed, start_us):
        self.loop, self.setup, self.traffic, self.journal = loop, setup, traffic, journal
        self.rng, self.sites = Random(f"clients/{seed}"), [proxy[1] for proxy in proxies]
        self.front = Front(loop, proxies, round(traffic.front_s * 1e6))
        self.classes = {settings.name: settings for settings in setup.classes}
        self.pools, self.transaction_count = defaultdict(list), 0  # idle connections by proxy
        self.start_us, self.end_us = start_us, start_us + round(traffic.seconds * 1e6)
        self.key_weights = list(accumulate(1 / (rank + 1) ** traffic.zipf for rank in range(traffic.keys)))
        self.unfinished, self.hot_keys, self.floods = 0, None, []  # hot_keys: (number of keys, share of transactions)
        self.next_arrival_us = start_us
        loop.at(start_us, self._arrive)

    def control(self, command, **arguments):
        """Carry out a control command with `on`; raises ValueError if it is unknown.

        "hot_key" with `keys` and `share`; "report_flood" with `reports` in each request and `streams` to each manager.
        """
        if command == "hot_key":
            self.hot_keys = (arguments["keys"], arguments["share"]) if arguments["on"] else None
        elif command == "report_flood":
            # Clients send no load reports; this process only serves as the host of the sender.
            if arguments["on"]:
                self.floods = [
                    FloodSender(self.loop, manager.listen.pair, arguments["reports"], arguments["streams"], 1)
                    for manager in self.setup.managers
                ]
            for flood in self.floods:
                flood.control("flood", arguments["on"])
        else:
            raise ValueError(f"unknown trouble of clients: {command}")

    def _arrive(self):
        # Intervals are counted from when the transaction was due, so that the rate holds if the process is late.
        now = self.next_arrival_us
        if now >= self.end_us:
            return
        self.next_arrival_us += max(1, round(self.rng.expovariate(self.traffic.per_s) * 1e6))
        self.loop.at(self.next_arrival_us, self._arrive)
        names = list(self.classes)
        settings = self.classes[self.rng.choices(names, [self.traffic.shares[name] for name in names])[0]]
        self.transaction_count += 1
        rank = self.rng.choices(range(self.traffic.keys), cum_weights=self.key_weights)[0]
        if self.hot_keys and self.rng.random() < self.hot_keys[1]:
            rank = self.rng.randrange(self.hot_keys[0])
        key = f"{rank}"
        # 1.197 is the mean of the log-normal distribution.
        required_work_us = max(
            1000, round(self.rng.lognormvariate(0, 0.6) / 1.197 * self.traffic.work_us[settings.name])
        )
        self.unfinished += 1
        self._try(
            {
                "number": self.transaction_count,
                "settings": settings,
                "key": key,
                "work_us": required_work_us,
                "begin_us": now,
                "tries": 0,
                # The share of a site in the clients is its share in the proxies.
                "site": self.rng.choice(self.sites),
            }
        )

    def _try(self, transaction):
        now, settings = self.loop.now(), transaction["settings"]
        left_us = transaction["begin_us"] + round(settings.client_timeout_s * 1e6) - now
        if left_us <= 1000:
            self._end(transaction, "given up")
            return
        transaction["tries"] += 1
        proxy, proxy_site, address = self.front.pick(self.rng, transaction["site"], transaction.get("avoided_site"))
        pool, client = self.pools[proxy], None
        while pool and client is None:
            client = pool.pop()
            client = None if client.closed else client
        client = client or Client(self.loop, address, 300_000)
        try_limit_us = min(left_us, round(settings.client_timeout_s * 1e6 * self.traffic.try_share))
        transaction_id = f"t{transaction['number']}"
        headers = [
            ("x-class", settings.name),
            ("x-key", transaction["key"]),
            ("x-work-us", str(transaction["work_us"])),
            ("x-transaction", transaction_id),
            ("x-try", f"{transaction_id}.{transaction['tries']}"),
            ("x-timeout-us", str(try_limit_us)),
        ]
        client.send_request(
            "POST",
            "/t",
            headers,
            b"",
            lambda response: self._answered(transaction, proxy, proxy_site, client, response),
            try_limit_us,
        )

    def _answered(self, transaction, proxy, proxy_site, client, response):
        reached = response.status != 0 or response.reason == "timed out"
        self.front.record_attempt(proxy, reached)
        if not reached and self.traffic.elsewhere:
            transaction["avoided_site"] = proxy_site
        if not client.closed and response.status:
            self.pools[proxy].append(client)
        if response.status == 200:
            self._end(transaction, "answered")
            return
        refused = response.status in (429, 503) or response.status == 0 and not response.sent
        # A transaction that must not be executed twice is repeated only if the try was refused, or if it is keyed and
        # all workers still drop duplicates of it.
        settings, age_us = transaction["settings"], self.loop.now() - transaction["begin_us"]
        may_repeat = (
            settings.repeat == "safe"
            or refused
            or (settings.repeat == "keyed" and settings.dedup_scope == "all" and age_us < settings.dedup_s * 1e6)
        )
        if transaction["tries"] <= self.traffic.retries and may_repeat:
            wait_us = self.traffic.backoff_us * (1 << min(4, transaction["tries"] - 1)) * self.rng.uniform(0.5, 1.5)
            self.loop.after(round(wait_us), lambda: self._try(transaction))
        else:
            self._end(transaction, f"failed {response.status}")

    def _end(self, transaction, outcome):
        self.unfinished -= 1
        now = self.loop.now()
        self.journal.write(
            "transaction",
            number=transaction["number"],
            cls=transaction["settings"].name,
            asked=transaction["begin_us"],
            took=now - transaction["begin_us"],
            how=outcome,
            tries=transaction["tries"],
            site=transaction["site"],
        )

"""Stand-in workers, many in one process.

Modelled are cores with a queue, reduced capacity after a cold start, keys that are cheaper while warm, the cost of new
connections, the detection of duplicates, load reports in the ORCA header, and troubles. Nothing is computed: work is a
time in microseconds of a core of speed 1.
"""

from collections import deque
from random import Random

from ..web import Server
from ..xds.reports import ORCA_HEADER, format_orca


class Worker:
    """One worker, warm at first if it `runs`. Writes the rows `started`, `stopped`, `arrived`, `effect` and others."""

    def __init__(self, fleet, spec, runs):
        self.fleet, self.spec, self.name = fleet, spec, spec.name
        self.loop, self.rng = fleet.loop, Random(f"{fleet.seed}/{spec.name}")
        self.server, self.port, self.up, self.generation = None, spec.port, False, 0
        # hung: accepts transactions and does not answer them; silent: answers nothing; overloaded: too much while cold
        self.hung = self.silent = self.overloaded = False
        self.unreachable_paths = ()  # paths whose requests do not reach it: "/probe", "/t"
        self.error_share = self.lost_answer_share = 0.0
        if runs:
            self.start(cold=False)

    def start(self, cold):
        """Start a process that listens; `cold`: its capacity grows from `cold_share` to all within `cold_us`."""
        self.up, self.hung, self.overloaded, self.started_us = True, False, False, self.loop.now() if cold else None
        self.generation += 1
        self.busy_cores, self.queue, self.warm_until, self.recent_work = 0, deque(), {}, deque()
        self.busy_us, self.finished_count, self.report, self.reported_us = 0.0, 0, {}, self.loop.now()
        self.server = Server(self.loop, (self.spec.host, self.port), self._request)
        self.port = self.server.address[1]
        self.fleet.journal.write(
            "started",
            worker=self.name,
            cold=cold,
            capacity=self.spec.cores * self.spec.speed,
            cold_share=self.spec.cold_share,
            cold_us=self.spec.cold_us,
        )

    def stop(self):
        """End the process: its connections break and its work is lost."""
        if self.up:
            self.up = False
            self.server.listener.close()
            for connection in list(self.server.connections):
                connection.abort("died")
            self.generation += 1
            self.fleet.journal.write("stopped", worker=self.name)

    def capacity_share(self):
        """The share of its capacity that the worker has at present."""
        if self.started_us is None:
            return 1.0
        ramp = min(1.0, (self.loop.now() - self.started_us) / max(1, self.spec.cold_us))
        return self.spec.cold_share + (1 - self.spec.cold_share) * ramp

    def _request(self, request):
        if request.connection.context is None:
            request.connection.context = True
            self._enqueue(self.spec.connection_us, lambda: None)
        if self.silent or request.path in self.unreachable_paths:
            return
        if request.path == "/probe":
            self._enqueue(self.spec.probe_us, lambda: request.respond(200, self._load_headers()))
            return
        received_headers = request.headers
        class_name, key, work_us = (
            received_headers["x-class"],
            received_headers["x-key"],
            int(received_headers["x-work-us"]),
        )
        self.fleet.journal.write(
            "arrived",
            worker=self.name,
            proxy=received_headers["x-proxy"],
            slice=int(received_headers["x-slice"]),
            cls=class_name,
            key=key,
            attempt=received_headers["x-try"],
            sent=int(received_headers["x-sent-us"]),
            work=work_us,
        )
        self._check_cold_overload(work_us)
        if self.hung or self.overloaded:
            return
        if self.rng.random() < self.error_share:
            request.respond(500, self._load_headers())
            return
        if len(self.queue) >= self.spec.queue:
            request.respond(503, self._load_headers())
            return
        if (until_us := self.warm_until.get(key)) is not None and until_us > self.loop.now():
            work_us *= 1 - self.fleet.warm_gain
        if len(self.warm_until) > 4000:
            self.warm_until.clear()
        self.warm_until[key] = self.loop.now() + self.fleet.warm_us
        self._enqueue(
            work_us,
            lambda: self._finish(request, class_name, received_headers["x-transaction"], received_headers["x-try"]),
        )

    def _enqueue(self, work_us, on_done):
        self.queue.append((work_us, on_done, self.generation))
        self._run_queued()

    def _run_queued(self):
        while self.queue and self.busy_cores < self.spec.cores:
            work_us, on_done, queued_generation = self.queue.popleft()
            self.busy_cores += 1
            takes_us = work_us / (self.spec.speed * self.capacity_share())
            self.loop.after(
                round(takes_us),
                lambda on_done=on_done, queued_generation=queued_generation, takes_us=takes_us: self._core_done(
                    on_done, queued_generation, takes_us
                ),
            )

    def _core_done(self, on_done, queued_generation, takes_us):
        if queued_generation != self.generation:
            return  # the process has ended meanwhile
        self.busy_cores -= 1
        self.busy_us += takes_us
        on_done()
        self._run_queued()

    def _finish(self, request, class_name, transaction, attempt):
        self.finished_count += 1
        if not request.connection.open:
            return  # cancelled by the sender
        if self.fleet.drops_duplicates(class_name):
            known_until_us = self.fleet.duplicate_memory(class_name, self.spec)
            if known_until_us.get((class_name, transaction), -1) > self.loop.now():
                self.fleet.journal.write("dropped repeat", worker=self.name, key=transaction, attempt=attempt)
                request.respond(200, self._load_headers())
                return
            known_until_us[(class_name, transaction)] = self.loop.now() + self.fleet.dedup_us(class_name)
        self.fleet.journal.write("effect", worker=self.name, cls=class_name, key=transaction, attempt=attempt)
        if self.rng.random() >= self.lost_answer_share:
            request.respond(200, self._load_headers())

    def _check_cold_overload(self, work_us):
        """Mark a cold worker as overloaded if the work that it gets within `fall_s` exceeds its capacity too far.

        The limit is `fall_multiple` times what it can do in that time. An overloaded worker answers no
        transaction until it is started again.
        """
        if self.started_us is None or self.overloaded:
            return
        now, rules = self.loop.now(), self.fleet.rules
        window_us = round(rules.fall_s * 1e6)
        self.recent_work.append((now, work_us))
        while self.recent_work and self.recent_work[0][0] <= now - window_us:
            self.recent_work.popleft()
        capacity_us = self.spec.cores * self.spec.speed * self.capacity_share() * window_us
        if (
            now - self.started_us < self.spec.cold_us
            and sum(arrival[1] for arrival in self.recent_work) > rules.fall_multiple * capacity_us
        ):
            self.overloaded = True
            self.fleet.journal.write("fell over", worker=self.name)

    def _load_headers(self):
        """The ORCA header with utilization and throughput per second, measured over at least 0.5 s."""
        now = self.loop.now()
        if now - self.reported_us >= 500_000:
            span_us = now - self.reported_us
            self.report = {
                "utilization": min(1.0, self.busy_us / span_us / self.spec.cores),
                "throughput": self.finished_count / span_us * 1e6,
            }
            self.busy_us, self.finished_count, self.reported_us = 0.0, 0, now
        return [(ORCA_HEADER, format_orca(self.report))] if self.report else []


class Workers:
    """All workers of a day; `specs` are WorkerSpecs, of which the last `spare` do not run at first.

    A transaction whose key the worker has served within the last `warm_us` needs only 1 - `warm_gain` of its
    work.
    """

    def __init__(self, loop, setup, specs, journal, seed, spare=0, warm_gain=0.4, warm_us=15_000_000):
        self.loop, self.setup, self.journal, self.seed = loop, setup, journal, seed
        self.rules, self.warm_gain, self.warm_us = setup.rules, warm_gain if setup.warm_keys else 0.0, warm_us
        self.classes = {settings.name: settings for settings in setup.classes}
        self.duplicate_memories = {}
        self.workers = {spec.name: Worker(self, spec, index < len(specs) - spare) for index, spec in enumerate(specs)}

    def drops_duplicates(self, class_name):
        """Whether workers drop duplicates of the transactions of a class."""
        return class_name in self.classes and self.classes[class_name].repeat == "keyed"

    def dedup_us(self, class_name):
        """How long duplicates of a class are dropped, in microseconds."""
        return round(self.classes[class_name].dedup_s * 1e6)

    def duplicate_memory(self, class_name, spec):
        """{(class, transaction): time until which duplicates are dropped}, shared by all workers of the scope."""
        group = {"all": "", "zone": spec.zone, "cell": spec.cell}[self.classes[class_name].dedup_scope]
        return self.duplicate_memories.setdefault(group, {})

    def control(self, command, workers, **arguments):
        """Begin or end a trouble at the named workers; raises ValueError if the command is unknown.

        "stop", "start"; "hang" and "vanish" with `on`; "unheard" with `paths`; "errors" and "answer_lost" with `share`.
        """
        for worker in (self.workers[name] for name in workers):
            if command == "stop":
                worker.stop()
            elif command == "start":
                if not worker.up:
                    worker.start(cold=True)
            elif command == "hang":
                worker.hung = arguments["on"]
            elif command == "vanish":
                worker.silent = arguments["on"]
            elif command == "unheard":
                worker.unreachable_paths = tuple(arguments["paths"])
            elif command == "errors":
                worker.error_share = arguments["share"]
            elif command == "answer_lost":
                worker.lost_answer_share = arguments["share"]
            else:
                raise ValueError(f"unknown trouble of workers: {command}")

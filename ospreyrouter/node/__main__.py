"""`python -m ospreyrouter.node`: one manager in the foreground, told where it stands by its environment."""

import gc
import os
import signal
import sys

from ..loop import Loop, Refused
from . import start
from .log import Log
from .service import Service


def main():
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there are addresses to move from
    try:
        station = start.station()
        door = start.door(station)
    except start.BadStart as problem:
        sys.exit(_refuse(problem))
    log, loop = Log(name=station.name), Loop()
    try:
        service = Service(loop, station, door, log)
    except Refused as problem:
        sys.exit(_refuse(f"LB_LISTEN: {problem}"))

    def reload():
        path = os.environ["LB_CONFIG"]
        try:
            service.move(*start.addresses(start.read_file(path), path))
        except start.BadStart as problem:
            log("new configuration refused, the old one stands", problem=str(problem))
        else:
            log("addresses read anew", discovery=service.watch.address, relay=service.relay.address)

    def stop():
        service.close()
        loop.stop()

    loop.on_fault = service.fault
    loop.on_signal(signal.SIGHUP, reload)
    loop.on_signal(signal.SIGTERM, stop)
    loop.on_signal(signal.SIGINT, stop)
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    log("started", listen=station.listen, slices=door.setup.slices, proxies=door.setup.proxies)
    loop.run()
    return 0


def _refuse(problem):
    print(f"ospreyrouter: {problem}", file=sys.stderr, flush=True)
    return 2


if __name__ == "__main__":
    sys.exit(main())

"""`python -m ospreyrouter.node`: one manager in the foreground, configured by environment variables and a file.

Signals are caught from the first moment on and handled once the loop runs. SIGHUP reads new addresses from the file;
one that arrives while the file is still being read at the start is not lost. SIGTERM ends the program with exit status
0 at any time.
"""

import os
import signal
import sys

if __name__ == "__main__":  # before the other imports, which take most of the start; there is nothing to close yet
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    signal.signal(signal.SIGINT, lambda *_: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the file has not been read yet

import gc  # noqa: E402

from ..loop import AddressUnavailable, Loop  # noqa: E402
from . import start  # noqa: E402
from .log import Log  # noqa: E402
from .service import Service  # noqa: E402

MAX_END_US = 500_000  # from SIGTERM to the end; the platform kills no sooner than after 0.7 s


def main():
    """Run a manager until a signal ends it. Returns the exit status: 0, or 2 if it could not start."""
    loop, service = Loop(), None

    def reload():
        path = os.environ["LB_CONFIG"]
        try:
            service.move(*start.read_addresses(start.read_file(path), path))
        except start.InvalidStartParameters as error:
            log("new configuration refused, the old one stands", problem=str(error))
        else:
            log("addresses read anew", discovery=service.watch.address, relay=service.relay.address)

    def stop():
        if service.closing:
            return
        loop.after(MAX_END_US, loop.stop)  # even if answering the callers fails
        service.drain(loop.stop)

    for number, callback in ((signal.SIGHUP, reload), (signal.SIGTERM, stop), (signal.SIGINT, stop)):
        loop.on_signal(number, callback)
    try:
        parameters = start.read_start_parameters()
        name_index = start.build_name_index(parameters)
    except start.InvalidStartParameters as error:
        return _report_start_error(error)
    log = Log(name=parameters.name)
    try:
        service = Service(loop, parameters, name_index, log)
    except AddressUnavailable as error:
        return _report_start_error(f"LB_LISTEN: {error}")
    loop.on_exception = service.handle_exception
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    setup = name_index.deployment
    log(
        "started",
        slices=setup.slice_count,
        proxies=setup.proxy_count,
        queue=setup.queue_lines,
        per_s=setup.lines_per_s,
        grace_ms=setup.drain_grace_us // 1000,
        empty_table_ms=setup.max_empty_table_us // 1000,
        transit_most_ms=setup.max_transit_us // 1000,
    )
    loop.run()
    loop.ignore_signals()
    return 0


def _report_start_error(error):
    print(f"ospreyrouter: {error}", file=sys.stderr, flush=True)
    return 2


if __name__ == "__main__":
    sys.exit(main())

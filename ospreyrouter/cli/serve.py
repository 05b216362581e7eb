"""Common parts of the commands: logging, running a service on a loop until it is stopped, one-line errors."""

import gc
import logging
import signal
import sys

import click
import structlog

from ..deployment import InvalidDeployment
from ..helper import ProcessCalls
from ..loop import AddressUnavailable, Loop
from ..store.tables import NewerFormat


class BadInput(click.ClickException):
    """Invalid input: one line on standard error and exit code 2; nothing was started."""

    exit_code = 2

    def format_message(self):
        """Returns the message without the prefix that `click` adds."""
        return self.message

    def show(self, file=None):
        """Prints the message to standard error."""
        click.echo(self.format_message(), err=True)


def read_or_fail(read, *arguments):
    """Returns `read(*arguments)`; an invalid deployment raises BadInput."""
    try:
        return read(*arguments)
    except InvalidDeployment as error:
        raise BadInput(str(error)) from None


def open_log(level="info"):
    """Returns a logger that writes JSON lines from `level` on to standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def serve(build, log, name, flush=None):
    """Runs a service until SIGTERM or SIGINT and returns it.

    `build(loop)` returns a service with `drain(on_done)` or `close()`. If `flush` is not None, it is called as
    `build(loop, calls)` with a helper process for disk operations, which flushes files (True) or leaves that to the
    system (False). An address in use, an unusable store or a failed service raises BadInput.
    """
    loop, calls = Loop(), None
    try:
        calls = ProcessCalls(loop, flush) if flush is not None else None
        service = build(loop, calls) if calls else build(loop)
    except AddressUnavailable as error:
        if calls is not None:
            calls.join()
        raise BadInput(f"{name}: listen: {error}") from None
    except NewerFormat as error:
        if calls is not None:
            calls.join()
        raise BadInput(str(error)) from None
    except OSError as error:
        raise BadInput(f"{error.filename or name}: {error.strerror}") from None

    def stop_soon():
        """Stops the loop after 100 ms."""
        loop.after(100_000, loop.stop)  # the last messages are still sent

    def stop():
        """Handles a signal: drains or closes the service, then stops the loop."""
        if hasattr(service, "drain"):
            service.drain(stop_soon)
        else:
            service.close()
            stop_soon()

    loop.on_signal(signal.SIGTERM, stop)
    loop.on_signal(signal.SIGINT, stop)
    # Objects created so far live as long as the process, so the collector skips them. Bodies of load reports create
    # thousands of dictionaries that are freed within their turn: at the default thresholds full collections took a
    # fifth of the time.
    gc.collect()
    gc.freeze()
    gc.set_threshold(100_000, 20, 100)
    print("ready", flush=True)
    log.info("started", name=name)
    loop.run()
    loop.ignore_signals()
    if calls is not None:
        calls.join()
    failed = getattr(service, "failed", None)
    if failed:
        raise BadInput(failed)
    log.info(
        "stopped",
        name=name,
        turns=loop.turns,
        longest_turn_us=loop.longest_turn_us,
        turn_p99_us=loop.turn_quantile_us(0.99),
        busy_us=loop.busy_us,
    )
    return service

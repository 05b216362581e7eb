"""Runs the day of a case and turns its outcome into an exit status: 1 broken, 0 held, 2 could not run."""

import asyncio
import gc
import os
import signal
import sys
import traceback
from pathlib import Path

MAX_S = 115


def run(folder, play):
    """Run `play(record, trouble)`, which returns whether the rule held; writes `record.txt` into `folder`.

    `play` raises an exception where the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(Path(folder) / "record.txt", "w") as file:

        def record(text):
            file.write(text + "\n")

        gc.disable()  # its pauses would make the stand-ins late

        async def main():
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends what was started, too
            async with asyncio.timeout(MAX_S):
                return await play(record, trouble)

        try:
            held = asyncio.run(main())
        except (Exception, asyncio.CancelledError):
            record(traceback.format_exc())
            print("the case could not run, see record.txt")
            sys.exit(2)
        record("RESULT: the rule " + ("held" if held else "was broken"))
    print(("held" if held else "BROKEN") + f" (TROUBLE={int(trouble)})")
    sys.exit(0 if held else 1)

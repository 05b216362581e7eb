"""One bad client that sends reports without end: does the manager go on working for everybody else?"""

import asyncio
import subprocess
import sys

from .day import Day, main
from .manager import ROOT, ping
from .settings import make_settings

WORKERS, SLICES, PROXIES = 6, 30, 8
PER_S, WRITE_SHARE, WORK_S = 100.0, 0.3, 0.2
CLIENT_S, DRAIN_AFTER_S = 30.0, 3.0
SLACK_S = 0.3  # on sockets, beside the drain grace of the settings
HUNG_S = 20.0  # a thread that neither waits nor ends for this long is a crash
PING_TIMEOUT_S = 1.0


async def play(record, with_trouble):
    """Start the client, then drain a worker; returns the breaks of the rules."""
    settings, broken, client = make_settings(SLICES, PROXIES), [], None
    day = Day(record, settings, WORKERS)
    loop = asyncio.get_running_loop()
    try:
        await day.start()
        day.begin_traffic(PER_S, WRITE_SHARE, WORK_S)
        await asyncio.sleep(5.0)
        if with_trouble:
            client = subprocess.Popen(
                [sys.executable, "-m", "review.rig2.endless_client", *map(str, day.manager.address), str(CLIENT_S)],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                text=True,
            )
            record.write(f"bad client started, process {client.pid}")
        began_s = answered_s = loop.time()
        drained, late, longest_s, used_s = None, set(), 0.0, day.manager.processor_seconds()
        while loop.time() - began_s < CLIENT_S:
            if drained is None and loop.time() - began_s > DRAIN_AFTER_S:
                drained, told_s = "s-0001", loop.time()
                day.drain_worker(drained)
            answered = await ping(day.manager.address, PING_TIMEOUT_S)
            record.write(f"PING: {'PONG' if answered else 'no answer'}")
            if answered:
                answered_s = loop.time()
            longest_s = max(longest_s, loop.time() - answered_s)
            if drained is not None and loop.time() - told_s > settings["Rules"]["DrainGraceS"] + SLACK_S:
                for proxy in day.relay.proxies:
                    if proxy.number not in late and any(drained in proxy.lines(index) for index in range(SLICES)):
                        late.add(proxy.number)
                        record.write(f"RULE BROKEN proxy {proxy.number} may still send to {drained}")
            await asyncio.sleep(0.1)
        record.write(f"longest time without a PONG: {longest_s:.1f} s")
        if used_s is not None:
            record.write(
                f"processor time of the manager in {CLIENT_S:.0f} s: {day.manager.processor_seconds() - used_s:.1f} s"
            )
        if late:
            broken.append(f"drain: {len(late)} proxies may still send to {drained} after its grace")
        if longest_s >= HUNG_S:
            broken.append(f"crash: the manager answered nobody for {longest_s:.1f} s")
        if client is not None:
            record.write(f"bad client: {client.communicate(timeout=10)[0].split(chr(10))[1]}")
        record.write(f"{day.answered} transactions answered, {day.refused} refused")
        return broken
    finally:
        if client is not None and client.poll() is None:
            client.kill()
            client.wait()
        day.close()


if __name__ == "__main__":
    main(sys.argv[1], play)

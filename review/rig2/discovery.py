"""Stand-in discovery: the list of workers over HTTP, whole or as a watch."""

import asyncio
import json

KEEP_ALIVE_S = 2.0


def entry(worker, site, health="active", born_ms=0):
    """One row of the list."""
    return {
        "host": worker.name,
        "dial": worker.dial,
        "site": site,
        "class": "std-4core",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


class Discovery:
    """Serves the list `rows`, {host: row}; `change` tells all watches of changed rows."""

    def __init__(self, record):
        self.record, self.rows, self.seq, self.watches, self.server, self.port = record, {}, 1, set(), None, 0
        self.changes = []  # (seq, row)

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole(self):
        """The whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    def change(self, *rows):
        """Change rows of the list and write them to all watches at once."""
        self.seq += 1
        for row in rows:
            self.rows[row["host"]] = row
            self.changes.append((self.seq, row))
            self.record.write(f"discovery tells {row['host']} {row['health']} (list {self.seq})")
            if row["health"] == "left":
                del self.rows[row["host"]]
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": list(rows)})
        for writer in [writer for writer in self.watches if not writer.is_closing()]:
            self._write_line(writer, line)

    @staticmethod
    def _write_line(writer, line):
        data = line.encode() + b"\n"
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def _serve(self, reader, writer):
        try:
            target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
            if "follow=1" not in target:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\n" + f"content-length: {len(body)}\r\n\r\n".encode() + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            since = int(target.rpartition("since=")[2])
            latest = {row["host"]: row for seq, row in self.changes if seq > since}
            first = {"seq": self.seq, "whole": False, "hosts": list(latest.values())} if since else self.whole()
            self._write_line(writer, json.dumps(first))
            self.watches.add(writer)
            while True:
                await asyncio.sleep(KEEP_ALIVE_S)
                self._write_line(writer, "")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

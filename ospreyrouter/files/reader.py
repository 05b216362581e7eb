"""Reads a set of table files as a plain proxy does.

    reader = TableReader(folder)
    if reader.poll(): use reader.tables, reader.levels, reader.withheld

Only the generation that the link points to is read. A generation that cannot be read or parsed is counted, and the last
valid one stays in force. A file whose inode has not changed is not read again.
"""

import os
from collections import Counter

from ..xds.documents import (
    CLUSTER_LOAD_ASSIGNMENT,
    ROUTE_CONFIGURATION,
    InvalidDocument,
    parse_full_table,
    parse_json,
    parse_levels,
    parse_resources,
    parse_routes,
    require_field,
)


class TableReader:
    """The content of the files in force.

    `tables` is {slice: (table, withheld workers, levels)}, `levels` and `withheld` are by manager, and `fences` is
    {slice: (fence, owner)}. `last_error` is the text of the error that kept the newest set out of force, or None.
    """

    def __init__(self, folder):
        self.link, self.folder = os.path.join(folder, "current"), folder
        self.current_target, self.files, self.counts, self.last_error = None, {}, Counter(), None
        self.tables, self.levels, self.withheld, self.fences = {}, {}, {}, {}

    def poll(self):
        """Reads the set if the link has changed; returns whether another set is in force than after the last call."""
        try:
            target = os.readlink(self.link)
        except OSError:
            return False
        if target == self.current_target:
            return False
        for _ in range(3):
            try:
                files = self._read(os.path.join(self.folder, target))
            except FileNotFoundError:
                # Several swaps have happened since the link was read, and the folder is gone: read the link again.
                target = os.readlink(self.link)
                continue
            except (OSError, InvalidDocument) as error:
                self.counts["bad sets"] += 1
                self.last_error, self.current_target = str(error), target
                return False
            self._use(files)
            self.current_target, self.last_error = target, None
            self.counts["reloads"] += 1
            return True
        return False

    def _read(self, path):
        """Returns {name: ((inode, mtime in ns), content)} of a generation.

        All files are opened through one descriptor of the folder, so that they belong to the same generation. Raises
        OSError or InvalidDocument.
        """
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        files = {}
        try:
            for name in sorted(os.listdir(folder)):
                handle = os.open(name, os.O_RDONLY, dir_fd=folder)
                try:
                    status = os.fstat(handle)
                    known = self.files.get(name)
                    if known is not None and known[0] == (status.st_ino, status.st_mtime_ns):
                        files[name] = known
                        continue
                    body = b""
                    while part := os.read(handle, 1 << 20):
                        body += part
                finally:
                    os.close(handle)
                files[name] = ((status.st_ino, status.st_mtime_ns), parse_file(name, body))
        finally:
            os.close(folder)
        return files

    def _use(self, files):
        self.tables, self.levels, self.withheld, self.fences = {}, {}, {}, {}
        for _, content in files.values():
            for key, value in content.items():
                if key == "fences":
                    self.fences.update(value)
                elif isinstance(key, int):
                    self.tables[key] = value
                else:
                    self.levels[key], self.withheld[key] = value
        self.files = files


def parse_file(name, body):
    """Returns the content of one file: {slice: (table, withheld workers, levels)}, or {manager: (levels, withheld)}
    with the fences under "fences". Raises InvalidDocument.
    """
    data, content = parse_json(body, name), {}
    type_url = require_field(data, "typeUrl", str, name)
    if type_url == CLUSTER_LOAD_ASSIGNMENT:
        for resource in parse_resources(data, CLUSTER_LOAD_ASSIGNMENT, name):
            table, withheld = parse_full_table(resource, name)
            content[table.slice] = (table, withheld, parse_levels(resource, name))
    elif type_url == ROUTE_CONFIGURATION:
        for resource in parse_resources(data, ROUTE_CONFIGURATION, name):
            manager, levels, withheld = parse_routes(resource, name)
            content[manager] = (levels, withheld)
        fences = data.get("controlPlane", {}).get("identifier", "")
        content["fences"] = parse_fences(fences)
    else:
        raise InvalidDocument(f"{name}.typeUrl: unsupported type {type_url!r:.80}")
    return content


def format_fences(fences):
    """Formats {slice: (fence, owner)} as the control plane's identifier: `fence:owner:slice,slice;...`."""
    groups = {}
    for slice_index, (fence, owner) in sorted(fences.items()):
        groups.setdefault((fence, owner), []).append(str(slice_index))
    return ";".join(
        f"{fence}:{owner}:{','.join(slice_indices)}" for (fence, owner), slice_indices in sorted(groups.items())
    )


def parse_fences(text):
    """Parses the text of `format_fences` into {slice: (fence, owner)}. Raises InvalidDocument."""
    fences = {}
    for group in filter(None, text.split(";")):
        try:
            fence, owner, slice_indices = group.split(":")
            fences.update({int(slice_index): (int(fence), owner) for slice_index in slice_indices.split(",")})
        except ValueError:
            raise InvalidDocument(f"controlPlane.identifier: {group!r:.60} is not FENCE:OWNER:SLICE,SLICE...") from None
    return fences

"""The manager as a program on the operators' platform: all I/O is on sockets, all decisions are made by `policy`.

Codecs without I/O: `frames` (messages of callers), `relay_lines` (the relay), `listing` (the worker list), `reports`
(load reports). State without I/O: `calls` (orders for the relay), `news` (what the relay reports), `drain_progress`.
Connections on the loop: `relay`, `link`, `collectors`, `watch`, `probes`. `service` joins them and runs the rounds of
the manager; `start` reads the program's parameters, `log` writes its log.
"""

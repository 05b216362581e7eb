"""The manager as a program on the operators' platform: sockets in, sockets out, every choice made by `policy`.

Codecs without I/O: `frames` (collectors), `relay_lines` (the relay), `listing` (discovery). State without I/O:
`calls` (orders out), `news` (what the relay says). On the loop: `relay`, `collectors`, `watch`, `probes`; and
`service`, which gathers a turn's news into one round. `start` reads what the program is told.
"""

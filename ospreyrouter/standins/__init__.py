"""Stand-ins for the systems around the managers: workers, worker list, plain proxies, balancers and clients.

Figures obtained with them are simulated. Each runs on a loop, real or virtual, writes what passes on its sockets into a
journal, and takes troubles by `control(command, **arguments)`.
"""

from .balancer import Balancers
from .clients import Clients
from .journal import Journal
from .proxy import Proxy
from .worker_list import WorkerListService
from .workers import Workers

__all__ = ["Balancers", "Clients", "Journal", "Proxy", "WorkerListService", "Workers"]

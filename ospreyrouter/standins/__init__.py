"""Stand-ins for what the product serves: workers, their list, plain proxies,
balancers, clients. Figures they yield are simulated.

Each runs on a loop, real or virtual, writes what passed its sockets into a journal, and takes troubles by
`control(name, **arguments)`.
"""

from .balancer import Balancers
from .clients import Clients
from .journal import Journal
from .proxy import Proxy
from .worker_list import WorkerListService
from .workers import Workers

__all__ = ["Balancers", "Clients", "Journal", "Proxy", "WorkerListService", "Workers"]

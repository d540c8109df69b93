"""What the callers' port needs of the node."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from sequoiapulley.daemon.config_task import ConfigTask
from sequoiapulley.daemon.request_task import RequestTask
from sequoiapulley.daemon.search_task import SearchTask
from sequoiapulley.entry.callers_messages import EntriesView, EntryView
from sequoiapulley.fleet.entry_directory import EntryDirectory
from sequoiapulley.ids import CallerId, Incarnation, NodeId, PlaceName, RequestId, ServiceName
from sequoiapulley.model import Service
from sequoiapulley.requests.messages import KeyedRequest, RequestOutcome
from sequoiapulley.runtime import Clock
from sequoiapulley.search.messages import SearchAnswer, SearchRequest


class NodeCallersBackend:
    """Connects the callers' port with the tasks of the node."""

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        clock: Clock,
        config: ConfigTask,
        searches: SearchTask,
        requests: RequestTask,
        directory: EntryDirectory,
    ) -> None:
        """Initialise the backend.

        Args:
            node: This node.
            incarnation: Its incarnation.
            clock: Clock of the process.
            config: Configuration in force.
            searches: Where searches go.
            requests: Where non-idempotent requests go.
            directory: Chooses entry addresses.
        """
        self._prefix = f"{node}-{incarnation:x}-"
        self._numbers = count(1)
        self._clock = clock
        self._config = config
        self._searches = searches
        self._requests = requests
        self._directory = directory

    def service(self, name: ServiceName) -> Service | None:
        """Finds a service of the configuration in force."""
        configuration = self._config.configuration
        return configuration.services.get(name) if configuration is not None else None

    def new_request_id(self) -> RequestId:
        """Returns an id that no other request of the fleet has."""
        return RequestId(f"{self._prefix}{next(self._numbers):x}")

    def search(self, request: SearchRequest, done: Callable[[SearchAnswer], None]) -> None:
        """Starts a search."""
        self._searches.start(request, done)

    def run(self, request: KeyedRequest, done: Callable[[RequestOutcome], None]) -> None:
        """Starts a non-idempotent request."""
        self._requests.start(request, done)

    def caller_left(self, request_id: RequestId) -> None:
        """Gives a search up whose caller left."""
        self._searches.cancel(request_id)

    def entries(self, caller: CallerId, place: PlaceName | None) -> EntriesView:
        """Chooses entry addresses for a caller."""
        answer = self._directory.answer(caller, place, self._clock.now())
        views = tuple(
            EntryView(address.host, address.port, address.node, address.place)
            for address in answer.addresses
        )
        return EntriesView(views, answer.lifetime_s)

"""What the calls to the shards of one request know of each other."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final, Protocol

from sequoiapulley.ids import ServiceName, UpstreamName

MIN_CRASHES: Final = 2
"""Number of shards whose upstreams crash under a request, with no reply from any shard, that show
that the request is the cause."""


class ShardCall(Protocol):
    """The call to one shard."""

    @property
    def in_flight(self) -> bool:
        """Whether an upstream may still reply, or its crash is still being checked."""


class ShardProgress:
    """Progress of one request at its shards, which the calls to them share.

    While none of the shards has replied, the request itself may be slow or crash upstreams. It is
    then not hedged, and a call that has lost it waits for the other shards: a reply of one of them
    shows that it does not crash upstreams, and further crashes show that it does.
    """

    __slots__ = (
        "_calls",
        "_crashed",
        "_on_reply",
        "_updating",
        "_waiting",
        "decides",
        "replied",
    )

    def __init__(self, decides: bool = True) -> None:
        """Initialise without calls.

        Args:
            decides: Whether this node may send the request again before a shard has replied. If
                not, as on a node that merges parts for another one, it reports the crashes.
        """
        self.decides = decides
        self.replied = False
        """Whether a shard has replied."""
        self._calls: list[ShardCall] = []
        self._crashed: dict[ServiceName, UpstreamName] = {}
        self._on_reply: list[Callable[[], None]] = []
        self._waiting: list[Callable[[], None]] = []
        """Calls that wait for the other shards."""
        self._updating = False

    @property
    def crashed(self) -> Mapping[ServiceName, UpstreamName]:
        """The upstream that crashed under the request, by shard."""
        return self._crashed

    @property
    def may_hedge(self) -> bool:
        """Whether the request may be hedged; one to a single shard always may."""
        return self.replied or len(self._calls) == 1

    @property
    def is_unproven(self) -> bool:
        """Whether no shard has replied, and one of several still may."""
        return not self.may_hedge and any(call.in_flight for call in self._calls)

    @property
    def shows_crashes(self) -> bool:
        """Whether the request has crashed the upstreams of several shards, and none has replied."""
        return not self.replied and len(self._crashed) >= MIN_CRASHES

    def add_call(self, call: ShardCall) -> None:
        """Adds the call to one shard."""
        self._calls.append(call)

    def on_reply(self, callback: Callable[[], None]) -> None:
        """Calls a function once a shard has replied."""
        self._on_reply.append(callback)

    def wait(self, callback: Callable[[], None]) -> None:
        """Calls a function after the next reply of a shard or end of a call."""
        self._waiting.append(callback)

    def record_crash(self, service: ServiceName, upstream: UpstreamName) -> None:
        """Records that an upstream of a shard crashed while it had the request."""
        self._crashed.setdefault(service, upstream)

    def record_reply(self) -> None:
        """Records that a shard has replied."""
        if self.replied:
            return
        self.replied = True
        callbacks, self._on_reply = self._on_reply, []
        for callback in callbacks:
            callback()
        self.update()

    def close(self) -> None:
        """Forgets the calls, as the request has ended."""
        self._calls.clear()
        self._on_reply.clear()
        self._waiting.clear()

    def update(self) -> None:
        """Lets the calls that wait for the other shards ask again."""
        if self._updating:
            return
        self._updating = True
        waiting, self._waiting = self._waiting, []
        try:
            for callback in waiting:
                callback()
        finally:
            self._updating = False

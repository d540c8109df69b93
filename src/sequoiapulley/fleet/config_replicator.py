"""Replicates the newest configuration from the store to every node; no node reverts."""

from __future__ import annotations

from random import Random
from typing import Final

from msgspec import Struct
from result import Err
from xxhash import xxh64_intdigest

from sequoiapulley.fleet.config_messages import (
    ConfigDelta,
    ConfigFull,
    ConfigMessage,
    ConfigRequest,
)
from sequoiapulley.fleet.config_record import (
    BadConfigRecordError,
    ConfigRecord,
    decode_record,
)
from sequoiapulley.fleet.log_events import (
    CONFIG_BAD_RECORD,
    CONFIG_LOWER_VERSION,
    CONFIG_SAME_VERSION,
    CONFIG_VERSION_HELD,
)
from sequoiapulley.fleet.member import Member, MemberState
from sequoiapulley.fleet.text_delta import apply_delta, make_delta
from sequoiapulley.ids import ConfigVersion, EditId, NodeId, Revision
from sequoiapulley.observe.log_event import LogSink
from sequoiapulley.platform.store import ABSENT, StoreReply, StoreValue

WATCHERS_PER_FAILURE_DOMAIN: Final = 2
MAX_WATCH_WAIT_S: Final = 2.5
MIN_RETRY_DELAY_S: Final = 0.5
MAX_RETRY_DELAY_S: Final = 8.0
COLD_START_WAIT_S: Final = 1.0
"""Time for peers to send the configuration before a new node reads the store itself."""
MAX_COLD_START_JITTER_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 1.0
"""Time after which a record is requested from another peer, in addition to its transfer."""
TRANSFER_BYTES_PER_S: Final = 437_500
"""Assumed rate of a transfer between nodes: half of a link of 7 Mbit/s, the narrowest one."""
FANOUT: Final = 4
MAX_RECORDS: Final = 8
"""Latest records kept as bases of deltas."""
NO_EDIT: Final = EditId("")


class ConfigAction(Struct, frozen=True):
    """Base class of the actions that configuration replication asks its caller to perform."""


class ApplyText(ConfigAction, frozen=True):
    """Make a newer text the active configuration of this node."""

    version: ConfigVersion
    edit_id: EditId
    text: str


class SendToPeer(ConfigAction, frozen=True):
    """Send a message to a peer."""

    node: NodeId
    message: ConfigMessage


class WatchConfigKey(ConfigAction, frozen=True):
    """Watch the configuration's key and pass the reply to `on_store_reply`."""

    after: Revision
    wait: float
    """Maximum duration of the watch in seconds; 0 reads the key at once."""


class RepairStore(ConfigAction, frozen=True):
    """Write the active record into a store that holds an older one."""

    record: ConfigRecord
    expected: Revision


class ConfigReplicator:
    """Holds the newest configuration record received and replicates it to peers.

    A few nodes per failure domain, the watchers, watch the store. A node that receives a newer
    record sends it to a few random peers as a delta, and these do the same. Membership datagrams
    carry each node's active version, so that a node that missed a record requests it from a peer.
    """

    def __init__(self, local_member: Member, log: LogSink, seed: int) -> None:
        """Initialise without a configuration.

        Args:
            local_member: The local node.
            log: Receives log events.
            seed: Seed of the random choices.
        """
        self._local_member = local_member
        self._log = log
        self._random = Random(seed)
        self._records: list[ConfigRecord] = []
        self._members: dict[NodeId, Member] = {local_member.node: local_member}
        self._versions: dict[NodeId, ConfigVersion] = {}
        self._revision: Revision = ABSENT
        self._watching = False
        self._has_read = False
        self._watch_due: float | None = None
        self._retry_delay = MIN_RETRY_DELAY_S
        self._request_pending_until = 0.0
        self._cold_start_until: float | None = None

    def current_record(self) -> ConfigRecord | None:
        """Returns the active record of this node, or None."""
        return self._records[-1] if self._records else None

    def version(self) -> ConfigVersion:
        """Returns the active version, 0 for none."""
        return self._records[-1].version if self._records else ConfigVersion(0)

    def start(self, now: float) -> list[ConfigAction]:
        """Starts replication; without a configuration from peers, the node reads the store.

        Args:
            now: Clock reading in seconds.
        """
        jitter = self._random.uniform(0.0, MAX_COLD_START_JITTER_S)
        self._cold_start_until = now + COLD_START_WAIT_S + jitter
        return self.tick(now)

    def is_watcher(self) -> bool:
        """Returns whether this node watches the store on behalf of its failure domain."""
        local = [
            member
            for member in self._members.values()
            if member.failure_domain == self._local_member.failure_domain
            and member.state is MemberState.ALIVE
        ]
        local.sort(key=lambda member: xxh64_intdigest(f"watch/{member.node}".encode()))
        return self._local_member.node in [
            member.node for member in local[:WATCHERS_PER_FAILURE_DOMAIN]
        ]

    def update_members(self, members: tuple[Member, ...], now: float) -> list[ConfigAction]:
        """Updates the view of the fleet."""
        self._members = {member.node: member for member in members}
        self._members.setdefault(self._local_member.node, self._local_member)
        self._versions = {
            node: version for node, version in self._versions.items() if node in self._members
        }
        return self.tick(now)

    def on_peer_version(
        self, node: NodeId, version: ConfigVersion, now: float
    ) -> list[ConfigAction]:
        """Handles the active version reported by a peer, and requests the record if it is newer."""
        self._versions[node] = version
        if version <= self.version():
            return []
        return self._request(node, now)

    def on_store_reply(self, reply: StoreReply, now: float) -> list[ConfigAction]:
        """Handles the reply to a `WatchConfigKey`."""
        self._watching = False
        if isinstance(reply, Err):
            if not self.is_watcher():
                # Only the watchers retry; this node gets the configuration from its peers.
                self._cold_start_until = None
            delay = self._random.uniform(0.5, 1.0) * self._retry_delay
            self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_DELAY_S)
            self._watch_due = now + delay
            return []
        self._retry_delay = MIN_RETRY_DELAY_S
        self._has_read = True
        self._cold_start_until = None
        self._watch_due = now + self._random.uniform(0.0, 0.1)
        return self._on_store_value(reply.ok_value)

    def on_message(self, node: NodeId, message: ConfigMessage, now: float) -> list[ConfigAction]:
        """Handles a message of a peer.

        Args:
            node: Sender of the message.
            message: The message.
            now: Clock reading in seconds.
        """
        if isinstance(message, ConfigFull):
            return self._adopt(message.record, node)
        if isinstance(message, ConfigDelta):
            return self._on_delta(node, message, now)
        return self._on_request(node, message)

    def on_local_edit(self, record: ConfigRecord) -> list[ConfigAction]:
        """Adopts a record that this node has written to the store."""
        return self._adopt(record, self._local_member.node)

    def tick(self, now: float) -> list[ConfigAction]:
        """Watches or reads the store if that is due on this node."""
        if self._watching:
            return []
        if self._watch_due is not None and now < self._watch_due:
            return []
        if self._records:
            self._cold_start_until = None
        if self._cold_start_until is not None and now < self._cold_start_until:
            return []
        watcher = self.is_watcher()
        if self._cold_start_until is None and not watcher:
            return []
        self._watching = True
        self._watch_due = None
        wait = self._random.uniform(0.5, 1.0) * MAX_WATCH_WAIT_S
        if not self._has_read or not watcher:
            wait = 0.0
        return [WatchConfigKey(after=self._revision, wait=wait)]

    def next_due(self) -> float | None:
        """Returns the clock reading at which `tick` should run next, or None if no time is set."""
        if self._watching:
            return None
        if self._watch_due is not None:
            return self._watch_due
        return self._cold_start_until

    def _on_store_value(self, value: StoreValue) -> list[ConfigAction]:
        self._revision = value.revision
        current = self.current_record()
        if value.revision == ABSENT:
            return self._repair(current, ConfigVersion(0), value.revision)
        try:
            record = decode_record(value.value)
        except BadConfigRecordError as exc:
            self._log.log(CONFIG_BAD_RECORD, error=str(exc))
            return []
        if current is not None and record.rank < current.rank:
            return self._repair(current, record.version, value.revision)
        return self._adopt(record, self._local_member.node)

    def _repair(
        self, current: ConfigRecord | None, stored_version: ConfigVersion, revision: Revision
    ) -> list[ConfigAction]:
        if current is None:
            return []
        self._log.log(CONFIG_LOWER_VERSION, found=stored_version, held=current.version)
        return [RepairStore(record=current, expected=revision)]

    def _adopt(self, record: ConfigRecord, source: NodeId) -> list[ConfigAction]:
        current = self.current_record()
        if current is not None:
            if record.rank <= current.rank:
                return []
            if record.version == current.version:
                self._log.log(
                    CONFIG_SAME_VERSION,
                    version=record.version,
                    taken=record.edit_id,
                    lost=current.edit_id,
                )
        self._records.append(record)
        del self._records[:-MAX_RECORDS]
        self._request_pending_until = 0.0
        self._log.log(
            CONFIG_VERSION_HELD, version=record.version, edit=record.edit_id, source=source
        )
        actions: list[ConfigAction] = [ApplyText(record.version, record.edit_id, record.text)]
        message: ConfigMessage = ConfigFull(record)
        if current is not None:
            message = make_delta(current, record)
        for node in self._choose_targets(source):
            actions.append(SendToPeer(node, message))
        return actions

    def _choose_targets(self, source: NodeId) -> list[NodeId]:
        """Chooses random peers that are not known to have the active version."""
        version = self.version()
        others = [
            member.node
            for member in self._members.values()
            if member.state is not MemberState.DEAD
            and member.node not in (self._local_member.node, source)
            and self._versions.get(member.node, ConfigVersion(0)) < version
        ]
        return self._random.sample(others, min(FANOUT, len(others)))

    def _on_delta(self, node: NodeId, delta: ConfigDelta, now: float) -> list[ConfigAction]:
        current = self.current_record()
        rank = (delta.version, delta.edited_at, delta.edit_id)
        if current is not None and rank <= current.rank:
            return []
        for base in reversed(self._records):
            record = apply_delta(base, delta)
            if record is not None:
                return self._adopt(record, node)
        return self._request(node, now)

    def _request(self, node: NodeId, now: float) -> list[ConfigAction]:
        """Requests a peer's record, unless an earlier request has not timed out yet."""
        if now < self._request_pending_until:
            return []
        current = self.current_record()
        # The requested text is about as large as the active one. Requested again while it is
        # arriving, it would arrive later.
        transfer = 0.0 if current is None else len(current.text) / TRANSFER_BYTES_PER_S
        self._request_pending_until = now + REQUEST_TIMEOUT_S + transfer
        edit_id = current.edit_id if current is not None else NO_EDIT
        return [SendToPeer(node, ConfigRequest(self.version(), edit_id))]

    def _on_request(self, node: NodeId, request: ConfigRequest) -> list[ConfigAction]:
        current = self.current_record()
        if current is None or current.version < request.have_version:
            return []
        if (current.version, current.edit_id) == (request.have_version, request.have_edit_id):
            return []
        for base in self._records[:-1]:
            if (base.version, base.edit_id) == (request.have_version, request.have_edit_id):
                return [SendToPeer(node, make_delta(base, current))]
        return [SendToPeer(node, ConfigFull(current))]

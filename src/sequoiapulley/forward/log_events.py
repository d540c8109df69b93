"""Log events of the forwarding of callers' requests."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

REQUEST_ANSWERED: Final = define_event(
    2501,
    "request_answered",
    Severity.INFO,
    "A request was answered with an upstream's reply or a merged answer; `target_ms` is the "
    "route's latency goal.",
)
ANSWER_PARTIAL: Final = define_event(
    2502,
    "answer_partial",
    Severity.WARNING,
    "Shards are missing from a merged answer. `lacking` names each with its reason: `pending` had "
    "not replied when the answer was due, with the upstreams in use and the time since each send.",
    "Follow the id's SP2504 lines to the upstreams; see docs/OPERATIONS.md.",
)
REQUEST_GIVEN_UP: Final = define_event(
    2503,
    "request_given_up",
    Severity.WARNING,
    "A request got an error: of the node itself, with its reason, or of an upstream, with its "
    "status. Status 503 of the node means that no upstream ran the request.",
    "Follow the id's SP2504 lines to the upstreams; see docs/OPERATIONS.md.",
)
TRY_FAILED: Final = define_event(
    2504,
    "try_failed",
    Severity.INFO,
    "A try (one send of a request to an upstream) ended without a reply that can be forwarded. If "
    "the upstream closed the connection (`end` is `lost`), `fingerprint` tells whether the same "
    "request was lost before.",
    "Check the upstream if this event recurs.",
)
CALLER_LEFT: Final = define_event(
    2505,
    "caller_left",
    Severity.INFO,
    "A caller disconnected before its answer; the tries in flight were cancelled.",
)
PARTS_LACKING: Final = define_event(
    2506,
    "parts_lacking",
    Severity.WARNING,
    "This node sent a reply with missing parts to a node of another failure domain. `lacking` "
    "names each shard with its reason, as in SP2502.",
    "Follow the id's SP2504 lines of this node to the upstreams; see docs/OPERATIONS.md.",
)
AGGREGATOR_FAILED: Final = define_event(
    2507,
    "aggregator_failed",
    Severity.WARNING,
    "A node of another failure domain did not return the requested parts. The shards are called "
    "directly, and the node is not used for `pause_s`.",
    "Check the node and the network path to it.",
)
AGGREGATOR_REGAINED: Final = define_event(
    2508,
    "aggregator_regained",
    Severity.INFO,
    "A node of another failure domain that had failed returns merged parts again.",
)
PARTS_UNREADABLE: Final = define_event(
    2509,
    "parts_unreadable",
    Severity.WARNING,
    "A request of another node for parts cannot be decoded; it was rejected, and that node calls "
    "the shards directly.",
    "Check for nodes that run another version.",
)
TRY_OVERDUE: Final = define_event(
    2515,
    "try_overdue",
    Severity.INFO,
    "No reply arrived within `usual_ms`. `outcome` states the action: `hedged` at the upstream "
    "`other`, or why the request was not hedged: `no_upstream` available, retry `quota` exhausted, "
    "`limited` call, or `not_idempotent`.",
    "Check the upstream if this event recurs.",
)
SHARDS_LIMITED: Final = define_event(
    2516,
    "shards_limited",
    Severity.INFO,
    "The answer is due in `time_left_ms`, but replies of shards that may be missing are expected "
    "later. Each of these shards is called once, until then; `expected_ms` names them.",
    "Check why their upstreams are slow or unresponsive.",
)
UPSTREAM_SILENT: Final = define_event(
    2517,
    "upstream_silent",
    Severity.WARNING,
    "An upstream is unresponsive: no reply for `silent_ms`, or unreachable; others are preferred.",
    "Check the upstream and the network path to it.",
)
UPSTREAM_ANSWERS: Final = define_event(
    2518, "upstream_answers", Severity.INFO, "An unresponsive upstream replies again."
)
UPSTREAM_PAUSED: Final = define_event(
    2526,
    "upstream_paused",
    Severity.INFO,
    "An upstream turned a request away and asked this node for a pause of `pause_s`; until then it "
    "receives no request from this node.",
    "Check the load of the upstream if this event recurs.",
)
PAUSE_BOUNDED: Final = define_event(
    2527,
    "pause_bounded",
    Severity.WARNING,
    "The pause that an upstream `requested` is not a number of seconds within limits; the node "
    "keeps a pause of `pause_s` instead.",
    "Correct the upstream's Retry-After header.",
)
REMOVAL_HELD: Final = define_event(
    2528,
    "removal_held",
    Severity.INFO,
    "The entry of an upstream is missing after an outage or a restoration of the store; the "
    "upstream stays in use for `hold_s`, as it may register again.",
)
UPSTREAM_LIMITED: Final = define_event(
    2529,
    "upstream_limited",
    Severity.INFO,
    "An upstream stated in a reply the requests per second that it accepts from all nodes together "
    "(`per_s`), or no longer states a limit (`per_s` is none).",
    "Check the load of the upstream if this event recurs.",
)
LIMIT_UNREADABLE: Final = define_event(
    2519,
    "limit_unreadable",
    Severity.WARNING,
    "The limit that an upstream `stated` is not a number of requests per second and is ignored.",
    "Correct the upstream's header.",
)
CONFIGURATION_APPLIED: Final = define_event(
    2510,
    "configuration_applied",
    Severity.INFO,
    "A newer configuration version is active on this node, as of store revision `revision`.",
)
CONFIGURATION_UNREADABLE: Final = define_event(
    2511,
    "configuration_unreadable",
    Severity.ERROR,
    "The configuration in the store cannot be decoded; the last valid one stays active.",
    "Correct its format and write it again.",
)
UPSTREAM_REGISTERED: Final = define_event(
    2512,
    "upstream_registered",
    Severity.INFO,
    "An upstream accepts requests, for the first time or again.",
)
UPSTREAM_LEAVES: Final = define_event(
    2513,
    "upstream_leaves",
    Severity.INFO,
    "An upstream receives no new requests, because it drains, announced its shutdown in a reply, "
    "its entry was removed, or another upstream uses its address.",
)
ENTRY_UNREADABLE: Final = define_event(
    2514,
    "entry_unreadable",
    Severity.WARNING,
    "An entry of the store cannot be decoded and is ignored, and its upstream is removed. Other "
    "entries are not affected.",
    "Check the writer of the key.",
)
STORE_LOST: Final = define_event(
    2520,
    "store_lost",
    Severity.WARNING,
    "The store is unavailable to this node; the last known state stays active.",
    "Check the store and the network path to it. Peers forward the changes that they read.",
)
STORE_REGAINED: Final = define_event(
    2521,
    "store_regained",
    Severity.INFO,
    "The store is available to this node again.",
)
STORE_READ_WHOLE: Final = define_event(
    2522,
    "store_read_whole",
    Severity.INFO,
    "The node read the full state, at its start or because the history was compacted.",
)
STORE_RESTORED: Final = define_event(
    2523,
    "store_restored",
    Severity.WARNING,
    "The store was restored from a copy: it reports a higher `era` and may lack its latest writes. "
    "The node reads the full state, keeps its configuration, waits for entries that the copy lacks "
    "and ignores those of upstreams that have left.",
    "Check that the operator's latest configuration is in the store; see docs/OPERATIONS.md.",
)
STATE_OUTDATED: Final = define_event(
    2524,
    "state_outdated",
    Severity.INFO,
    "A source returned state of an era of the store before the restoration; it was ignored.",
    "Check the source if this event recurs for more than a few seconds.",
)
ENTRY_OUTDATED: Final = define_event(
    2525,
    "entry_outdated",
    Severity.INFO,
    "The store lists an upstream that has already left, as its copy is older than that; the "
    "upstream stays out of use until it starts again.",
)
PEER_LOST: Final = define_event(
    2530,
    "peer_lost",
    Severity.WARNING,
    "No heartbeat of a node arrived in time; callers are no longer sent to it.",
    "Check the VM.",
)
PEER_SEEN: Final = define_event(
    2531,
    "peer_seen",
    Severity.INFO,
    "A heartbeat of a node arrived, for the first time or again after it was lost.",
)
HEARTBEAT_UNREADABLE: Final = define_event(
    2532,
    "heartbeat_unreadable",
    Severity.WARNING,
    "A datagram on the heartbeat port cannot be decoded.",
    "Check for nodes that run another version.",
)
PEER_STATE_FAILED: Final = define_event(
    2533,
    "peer_state_failed",
    Severity.INFO,
    "A peer did not return its state; `error` says how much of it arrived. Another source is read "
    "next.",
    "Check the network path between the two nodes if this event recurs.",
)
STATE_SENT: Final = define_event(
    2534,
    "state_sent",
    Severity.INFO,
    "This node sent its state to `replies` peers at a time, `bytes` in all; small replies are not "
    "logged.",
    "Divide `bytes` by the bandwidth of the VM's link for the time until all peers have it.",
)
CRASHING_REQUEST_SUSPECTED: Final = define_event(
    2535,
    "crashing_request_suspected",
    Severity.WARNING,
    "An upstream was lost with the request in flight and accepts no connection. The request is "
    "sent to one upstream at a time until one replies.",
    "No action is needed unless SP2536 follows with the same fingerprint.",
)
CRASHING_REQUEST_REFUSED: Final = define_event(
    2536,
    "crashing_request_refused",
    Severity.ERROR,
    "A request has crashed upstreams one after the other; all nodes refuse it for `refused_s`: "
    "some seconds after two of them, as another request may have crashed both, ten minutes after "
    "three.",
    "Find the request by the SP2504 lines with this fingerprint, and repair the upstreams.",
)
CONTACT_LOST: Final = define_event(
    2546,
    "contact_lost",
    Severity.WARNING,
    "Of `connections` to a sample of the upstreams, `accepted` were accepted: this node is cut off "
    "from them, or they are all gone. Other nodes serve its callers if they are in contact, and "
    "new directory answers omit it.",
    "Check the network path of the VM to the upstreams; if all nodes log this, check these.",
)
CONTACT_REGAINED: Final = define_event(
    2547,
    "contact_regained",
    Severity.INFO,
    "Upstreams accept connections of this node again; it serves its callers itself.",
)
HANDOVER_FAILED: Final = define_event(
    2548,
    "handover_failed",
    Severity.INFO,
    "A node to which this one, cut off from the upstreams, handed a request over did not answer.",
    "Check the node and the network path to it if this event recurs.",
)
HANDOVER_UNREADABLE: Final = define_event(
    2549,
    "handover_unreadable",
    Severity.WARNING,
    "A request that another node handed over cannot be decoded.",
    "Check for nodes that run another version.",
)
REFUSAL_NOT_KEPT: Final = define_event(
    2537,
    "refusal_not_kept",
    Severity.INFO,
    "The store did not accept a refused request; the node tries again. All nodes refuse it "
    "nevertheless, but would not know it after they have all restarted.",
    "Check the store if this event recurs.",
)
PEERS_TOO_MANY: Final = define_event(
    2552,
    "peers_too_many",
    Severity.WARNING,
    "A heartbeat of `peer` was ignored: `peers` nodes are known, and too many of them are named "
    "only by heartbeats and not registered.",
    "Find out who else sends datagrams to the heartbeat port.",
)
NODE_STARTED: Final = define_event(
    2540, "forward_node_started", Severity.INFO, "The node accepts callers."
)
NODE_LEAVING: Final = define_event(
    2541,
    "forward_node_leaving",
    Severity.INFO,
    "The node is shutting down: it still serves requests, and new directory answers omit it.",
)
NODE_STOPPED: Final = define_event(
    2542,
    "forward_node_stopped",
    Severity.INFO,
    "The node stopped. `unanswered` requests had no answer, and the answers of `undelivered` "
    "connections were not acknowledged by their callers; `connections` were open, and `requests` "
    "were answered since the start. After a normal shutdown all but the last are 0.",
    "If `unanswered` or `undelivered` is not 0, look for SP1008 and for a network fault of the VM.",
)
CALLERS_CLOSED: Final = define_event(
    2550,
    "callers_closed",
    Severity.INFO,
    "A node that is shutting down accepts no more connections of callers; `in_flight` requests on "
    "`connections` connections, and `parts` requests of other nodes, are not answered yet.",
)
REQUESTS_ENDED: Final = define_event(
    2551,
    "shutdown_ended_requests",
    Severity.WARNING,
    "A node that is shutting down answered `requests` requests itself, shortly before the end of "
    "its grace period, as upstreams had not answered them.",
    "Look for slow upstreams (SP2515); the requests have a line SP2503 with reason `shutdown`.",
)
DUTIES_CHANGED: Final = define_event(
    2545,
    "duties_changed",
    Severity.INFO,
    "The roles of this node changed: entry node of its failure domain (`entry`), store reader "
    "(`reader`). `live` nodes of the failure domain are alive.",
)
SETTINGS_RELOADED: Final = define_event(
    2543, "settings_reloaded", Severity.INFO, "The settings file was reloaded."
)
SETTINGS_UNREADABLE: Final = define_event(
    2544,
    "settings_unreadable",
    Severity.ERROR,
    "The settings file cannot be read; the previous values stay active.",
    "Correct the file; it is reloaded when it changes.",
)

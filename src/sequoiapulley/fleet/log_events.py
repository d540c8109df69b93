"""Log events of the fleet."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

MEMBER_JOINED: Final = define_event(
    5001, "member_joined", Severity.INFO, "A node was heard of for the first time."
)
MEMBER_SUSPECTED: Final = define_event(
    5002,
    "member_suspected",
    Severity.WARNING,
    "A node missed a direct and several indirect probes.",
    "None if it refutes; a node that is suspected again and again is overloaded or badly linked.",
)
MEMBER_DEAD: Final = define_event(
    5003,
    "member_dead",
    Severity.WARNING,
    "A suspected node did not refute in time, or its address belongs to another node now.",
    "Check the VM; see docs/operators/membership.md.",
)
MEMBER_REFUTED: Final = define_event(
    5004, "member_refuted", Severity.INFO, "A suspected or dead node proved to be alive."
)
MEMBER_LEAVING: Final = define_event(
    5005, "member_leaving", Severity.INFO, "A node announced its graceful shutdown."
)
PAUSE_DETECTED: Final = define_event(
    5006,
    "pause_detected",
    Severity.WARNING,
    "This process did not run for a second or more; its open probes were dropped.",
    "Look for a frozen VM, swapping or a starved processor.",
)
DATAGRAM_REFUSED: Final = define_event(
    5007,
    "datagram_refused",
    Severity.WARNING,
    "A datagram failed authentication or could not be decoded; logged at most once a minute.",
    "Compare the key files of the nodes; see docs/operators/keys.md.",
)
MEMBER_FORGOTTEN: Final = define_event(
    5008, "member_forgotten", Severity.INFO, "A node long dead and unlisted was forgotten."
)
VM_LIST_DISAGREES: Final = define_event(
    5009,
    "vm_list_disagrees",
    Severity.WARNING,
    "The platform's list lacks a live node, or is empty; the node is kept.",
    "None if the list lags; otherwise report it to the platform's operators.",
)
KEY_FILE_CHANGED: Final = define_event(
    5010, "key_file_changed", Severity.INFO, "The membership key file was read again."
)
KEY_FILE_UNREADABLE: Final = define_event(
    5011,
    "key_file_unreadable",
    Severity.ERROR,
    "The membership key file could not be read; the keys read before stay in use.",
    "Restore the file; see docs/operators/keys.md.",
)
NO_KEY_FILE: Final = define_event(
    5012,
    "no_key_file",
    Severity.WARNING,
    "Membership datagrams are not authenticated, because no key file is set.",
    "Set one for any fleet that leaves loopback; see docs/operators/keys.md.",
)
CONFIG_VERSION_HELD: Final = define_event(
    5101, "config_version_held", Severity.INFO, "A newer configuration was received."
)
CONFIG_LOWER_VERSION: Final = define_event(
    5102,
    "config_lower_version",
    Severity.WARNING,
    "The store holds an older configuration than the fleet; the fleet's is written back.",
    "Ask the platform's operators whether the store was restored from a backup.",
)
CONFIG_SAME_VERSION: Final = define_event(
    5103,
    "config_same_version",
    Severity.ERROR,
    "Two different edits carry the same version; the later one is taken.",
    "Compare the configuration in force with the edit that was lost, and apply it again.",
)
CONFIG_BAD_RECORD: Final = define_event(
    5104,
    "config_bad_record",
    Severity.ERROR,
    "The configuration record in the store could not be decoded; it is ignored.",
    "Apply the configuration again.",
)

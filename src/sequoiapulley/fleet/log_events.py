"""Log events of the fleet."""

from __future__ import annotations

from typing import Final

from sequoiapulley.observe.log_event import Severity, define_event

MEMBER_JOINED: Final = define_event(
    5001, "member_joined", Severity.INFO, "A node that was unknown before joined the fleet."
)
MEMBER_SUSPECTED: Final = define_event(
    5002,
    "member_suspected",
    Severity.WARNING,
    "A node did not reply to a direct and several indirect probes.",
    "Nothing if the node refutes the suspicion; check the load and network of one suspected often.",
)
MEMBER_DEAD: Final = define_event(
    5003,
    "member_dead",
    Severity.WARNING,
    "A suspected node did not refute the suspicion in time, or another node has its address.",
    "Check the VM; see docs/operators/membership.md.",
)
MEMBER_REFUTED: Final = define_event(
    5004, "member_refuted", Severity.INFO, "A suspected or dead node has shown that it is alive."
)
MEMBER_LEAVING: Final = define_event(
    5005, "member_leaving", Severity.INFO, "A node announced its graceful shutdown."
)
PAUSE_DETECTED: Final = define_event(
    5006,
    "pause_detected",
    Severity.WARNING,
    "This process was paused for more than a second or its clock went back; probes were dropped.",
    "Check for a paused VM, swapping or CPU starvation.",
)
DATAGRAM_REFUSED: Final = define_event(
    5007,
    "datagram_refused",
    Severity.WARNING,
    "A datagram failed authentication (logged at most once a minute) or could not be decoded.",
    "Compare the key files of the nodes; see docs/operators/keys.md.",
)
MEMBER_FORGOTTEN: Final = define_event(
    5008, "member_forgotten", Severity.INFO, "A node that was dead for a long time was removed."
)
VM_LIST_DISAGREES: Final = define_event(
    5009,
    "vm_list_disagrees",
    Severity.WARNING,
    "The platform's VM list does not contain a live node; the node is kept.",
    "Nothing if the list is only delayed; otherwise report it to the platform's operators.",
)
KEY_FILE_CHANGED: Final = define_event(
    5010,
    "key_file_changed",
    Severity.INFO,
    "The membership key file has changed and was read again.",
)
KEY_FILE_UNREADABLE: Final = define_event(
    5011,
    "key_file_unreadable",
    Severity.ERROR,
    "The membership key file is unreadable or has no usable key; the previous keys stay in use.",
    "Restore the file; see docs/operators/keys.md.",
)
NO_KEY_FILE: Final = define_event(
    5012,
    "no_key_file",
    Severity.WARNING,
    "Membership datagrams are not authenticated because no key file is configured.",
    "Configure one unless the fleet uses only loopback; see docs/operators/keys.md.",
)
CONFIG_VERSION_HELD: Final = define_event(
    5101, "config_version_held", Severity.INFO, "A newer configuration was received."
)
CONFIG_LOWER_VERSION: Final = define_event(
    5102,
    "config_lower_version",
    Severity.WARNING,
    "The store holds no configuration or an older one; the one of this node is written back.",
    "Ask the platform's operators whether the store was restored from a backup.",
)
CONFIG_SAME_VERSION: Final = define_event(
    5103,
    "config_same_version",
    Severity.ERROR,
    "Two different edits have the same version; the later one becomes active.",
    "Compare the active configuration with the lost edit, and apply that edit again.",
)
CONFIG_BAD_RECORD: Final = define_event(
    5104,
    "config_bad_record",
    Severity.ERROR,
    "The configuration record in the store could not be decoded and is ignored.",
    "Apply the configuration again.",
)

"""Names of the platform's formats: headers, paths, store keys and the settings variable."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "SEQUOIAPULLEY_SETTINGS"
"""Environment variable that holds the path of the settings file."""

ATTEMPT_ID: Final = b"x-attempt-id"
"""Id of a caller's attempt."""
TIME_LEFT_MS: Final = b"x-deadline-ms"
"""Time left for the request, in milliseconds; not a point in time, despite the name."""
SEAL: Final = b"x-server-seal"
"""Message authentication code (seal) of an upstream for its reply."""
EXPECTED_UPSTREAM: Final = b"x-expected-instance"
"""Name of the only upstream that may run the request."""
NOT_EXECUTED: Final = b"x-not-executed"
"""Present on a reply if the upstream did not run the request."""
LOAD: Final = b"x-server-load"
"""Load of an upstream: running requests, waiting requests and slots, separated by commas."""
PART_SEALS: Final = b"x-part-seals"
"""Message authentication codes (seals) of the parts of a merged answer, separated by commas."""
MISSING_PARTS: Final = b"x-missing-parts"
"""Number of parts missing from a merged answer."""
LEAVING: Final = b"server-leaving"
"""`1` on a reply of an upstream that is about to shut down."""
REQUEST_LIMIT: Final = b"server-limit"
"""Requests per second that an upstream in need accepts from all nodes together."""

READINESS_PATH: Final = b"/readiness"
RESOLUTION_PATH: Final = b"/resolution"

CONFIGURATION_KEY: Final = "op/config"
UPSTREAMS_PREFIX: Final = "servers/"
REFUSALS_PREFIX: Final = "refusals/"
"""Prefix of the keys under which this system's nodes store requests that crash upstreams."""
NODES_PREFIX: Final = "nodes/"
"""Prefix of the keys under which this system's nodes store their records."""

STORE_ERA: Final = b"store-era"
"""Number of the store's era, in each of its replies; a restoration from a copy increments it."""
STORE_KEY_PATH: Final = "/kv-key"
STORE_RANGE_PATH: Final = "/kv-range"
STORE_WATCH_PATH: Final = "/kv-watch"
STORE_TXN_PATH: Final = "/kv-txn"
STORE_LEASE_PATH: Final = "/kv-lease"
STORE_LEASE_RENEW_PATH: Final = "/kv-keep/"

"""The record that claims a request's key in the store and later holds its outcome."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import Final

from msgspec import Struct, json

from sequoiapulley.ids import CallerId, IdempotencyKey, Incarnation, NodeId, ServiceName
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason

MAX_OUTCOME_BYTES: Final = 131_072
DIGEST_BYTES: Final = 16


class ClaimState(Enum):
    """How far the request of a claim has come."""

    CLAIMED = "claimed"
    """The holder may be running it."""
    DONE = "done"
    """It ran and the record holds its outcome."""
    UNKNOWN = "unknown"
    """It may have run; the key is spent."""
    RELEASED = "released"
    """The holder proved that it did not run; a repeat may claim the key."""


class ClaimRecord(Struct, frozen=True):
    """One key's claim, as it stands in the store."""

    claim_id: str
    """Unique for each attempt; finds one's own claim after a lost reply."""
    node: NodeId
    incarnation: Incarnation
    caller: CallerId
    digest: str
    """Hash of the request's body."""
    state: ClaimState
    expires: float
    """Epoch seconds after which a repeat may record the outcome as unknown."""
    body: str = ""
    """The upstream's answer when the state is done."""
    body_omitted: bool = False
    """Whether the answer was too large to keep."""
    reason: RefusalReason | None = None


def claim_key(service: ServiceName, key: IdempotencyKey) -> str:
    """Returns the store key of a request's claim; it does not depend on the caller."""
    digest = blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return f"requests/{service}/{digest}"


def body_digest(request: KeyedRequest) -> str:
    """Returns the hash that tells one request's body from another's."""
    return blake2b(request.body.encode(), digest_size=DIGEST_BYTES).hexdigest()


def make_claim(
    request: KeyedRequest, node: NodeId, incarnation: Incarnation, expires: float
) -> ClaimRecord:
    """Makes the claim of a new attempt.

    Args:
        request: The request.
        node: The node that holds the claim.
        incarnation: Its incarnation.
        expires: Epoch seconds after which a repeat may record the outcome as unknown.

    Returns:
        A claim whose id is still the same for all attempts of the node's incarnation.
    """
    return ClaimRecord(
        claim_id=f"{node}/{incarnation}",
        node=node,
        incarnation=incarnation,
        caller=request.caller,
        digest=body_digest(request),
        state=ClaimState.CLAIMED,
        expires=expires,
    )


def encode_claim(record: ClaimRecord) -> bytes:
    """Writes a record as JSON."""
    return json.encode(record)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Reads a record, or returns None for a value that is none."""
    try:
        return json.decode(value, type=ClaimRecord)
    except (ValueError, UnicodeDecodeError):
        return None

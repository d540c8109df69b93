"""Store record that claims the idempotency key of a request and later holds its outcome."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import Final

from msgspec import Struct, json

from sequoiapulley.decoding import DecodingError, decode_json
from sequoiapulley.ids import CallerId, IdempotencyKey, Incarnation, NodeId, ServiceName
from sequoiapulley.requests.messages import KeyedRequest, RefusalReason

MAX_OUTCOME_BYTES: Final = 131_072
DIGEST_BYTES: Final = 16


class ClaimState(Enum):
    """State of the request of a claim."""

    CLAIMED = "claimed"
    """The holder may be running the request."""
    DONE = "done"
    """The request ran; the record holds its outcome."""
    UNKNOWN = "unknown"
    """The request may have run; the key can never run again."""
    RELEASED = "released"
    """The holder proved that the request did not run; a retry may claim the key."""


class ClaimRecord(Struct, frozen=True):
    """Claim of one key, as it is stored."""

    claim_id: str
    """Unique for each attempt; identifies an attempt's own claim after a lost reply."""
    node: NodeId
    incarnation: Incarnation
    caller: CallerId
    digest: str
    """Hash of the request's body."""
    state: ClaimState
    expires: float
    """Epoch seconds after which a retry may record the outcome as unknown."""
    body: str = ""
    """The upstream's answer if `state` is done."""
    body_omitted: bool = False
    """Whether the answer was too large to store (`MAX_OUTCOME_BYTES`)."""
    reason: RefusalReason | None = None


def claim_key(service: ServiceName, key: IdempotencyKey) -> str:
    """Returns the store key of a claim; it is the same for all callers."""
    digest = blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
    return f"requests/{service}/{digest}"


def body_digest(request: KeyedRequest) -> str:
    """Returns the hash of a request's body."""
    return blake2b(request.body.encode(), digest_size=DIGEST_BYTES).hexdigest()


def make_claim(
    request: KeyedRequest, node: NodeId, incarnation: Incarnation, expires: float
) -> ClaimRecord:
    """Builds the claim of a new attempt.

    Args:
        request: The request to claim.
        node: The node that holds the claim.
        incarnation: Incarnation of that node.
        expires: Epoch seconds after which a retry may record the outcome as unknown.

    Returns:
        The claim. Its id holds only node and incarnation; the coordinator appends the run id.
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
    """Encodes a record as JSON."""
    return json.encode(record)


def decode_claim(value: bytes) -> ClaimRecord | None:
    """Decodes a record; returns None for a value that is not a claim record."""
    try:
        return decode_json(value, ClaimRecord)
    except DecodingError:
        return None

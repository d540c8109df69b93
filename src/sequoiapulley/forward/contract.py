"""Interface for encoding requests and answers and for interpreting replies."""

from __future__ import annotations

from typing import Protocol

from sequoiapulley.forward.attempt_history import AttemptHistory
from sequoiapulley.forward.messages import Answer, CallerRequest, ExchangeReply, UpstreamRecord
from sequoiapulley.wire.reply_parser import ParsedReply


class WireContract(Protocol):
    """Wire format of requests, replies and answers; the platform's adapter implements it."""

    def encode_request(
        self, req: CallerRequest, upstream: UpstreamRecord, time_left: float
    ) -> bytes:
        """Returns the bytes of a request to an upstream.

        Args:
            req: The caller's request.
            upstream: The only upstream that may run the request.
            time_left: Seconds until the deadline, after which the upstream may stop.
        """

    def is_reply_to(self, req: CallerRequest, reply: ParsedReply, history: AttemptHistory) -> bool:
        """Returns whether a reply belongs to the request; a late one may not.

        Args:
            req: The request.
            reply: The reply.
            history: Earlier attempts on the same connection.
        """

    def classify(self, reply: ParsedReply) -> ExchangeReply:
        """Returns the outcome of the request as stated by a complete reply."""

    def forwarded_answer(self, reply: ExchangeReply) -> Answer:
        """Returns the answer that forwards an upstream's reply unchanged."""

    def forwards_reply(self, answer: Answer) -> bool:
        """Returns whether an answer forwards the reply of an upstream that ran the request."""

    def merged_answer(self, seals: list[bytes], missing: int, body: bytes) -> Answer:
        """Returns the merged answer of a gather.

        Args:
            seals: Message authentication codes (seals) of the parts that are included.
            missing: Number of shards without a part in the answer.
            body: The merged records.
        """

"""Mutations of request forwarding and the code beneath it, for `tools.break_promises`."""

from __future__ import annotations

from typing import Final

from tools.promise_break import Break

FORWARD_BREAKS: Final = (
    Break(
        5,
        "forward/service_call.py",
        "return self._route.idempotent or not self._may_have_run",
        "return True",
        ("test_service_call",),
    ),
    Break(
        5,
        "forward/service_call.py",
        "if not self._route.idempotent:\n            return HedgeOutcome.NOT_IDEMPOTENT, None\n",
        "",
        ("test_service_call",),
    ),
    Break(
        4,
        "forward/refusal.py",
        "if status == NOT_EXECUTED_STATUS and may_have_run:",
        "if False:",
        ("test_service_call", "test_gather"),
    ),
    Break(
        4,
        "forward/gather.py",
        "        if served < self._min_parts:\n",
        "        if False:\n",
        ("test_gather",),
    ),
    Break(
        3,
        "platform/platform_contract.py",
        'return attempt is None or attempt == req.id.encode("latin-1")',
        "return True",
        ("test_upstream_pool",),
    ),
    Break(
        3,
        "platform/platform_contract.py",
        'if _header(reply.headers, b"content-encoding") is not None:',
        "if False:",
        ("test_upstream_pool",),
    ),
    Break(
        3,
        "wire/reply_parser.py",
        "if self._has_extra_data or self._has_unaccepted_reply or self._headers or self._body:",
        "if self._has_extra_data or self._headers or self._body:",
        ("test_upstream_pool",),
    ),
    Break(
        2,
        "forward/gather.py",
        "overdue = self._ctx.clock.now() >= self._due",
        "overdue = True",
        ("test_gather",),
    ),
    Break(
        6,
        "forward/upstream.py",
        "return not self.retired and not self.address_reassigned",
        "return not self.address_reassigned",
        ("test_shared_state",),
    ),
    Break(
        6,
        "forward/upstream.py",
        "return not self.retired and not self.address_reassigned",
        "return not self.retired",
        ("test_service_call",),
    ),
    Break(
        6,
        "forward/shared_state.py",
        "if not change.may_return:",
        "if True:",
        ("test_shared_state",),
    ),
    Break(6, "forward/state_feed.py", " and self.age >= OUTAGE_S", "", ("test_state_feed",)),
    Break(
        7,
        "wire/server_connection.py",
        " and not self._server.shutting_down",
        "",
        ("test_http_server",),
    ),
    Break(
        8,
        "forward/forwarder.py",
        "if self._index is not None and table.version <= self._index.table.version:",
        "if False:",
        ("test_shared_state",),
    ),
    Break(
        8,
        "forward/state_feed.py",
        "if changes.whole and changes.revision < self.revision:",
        "if False:",
        ("test_state_feed",),
    ),
    Break(
        8,
        "forward/state_feed.py",
        "self._exact = True",
        "self._exact = False",
        ("test_state_feed",),
    ),
    Break(
        8,
        "daemon/feed_sources.py",
        "if newer_peer is not None and failures % 2 == 0:",
        "if False:",
        ("test_peers",),
    ),
    Break(
        4,
        "forward/service_call.py",
        "if self._may_have_run or self.delegate is not None:",
        "if self._may_have_run:",
        ("test_remote_parts",),
    ),
    Break(
        2,
        "forward/gather.py",
        "if len({*self._seals, *seals}) < len(self._seals) + len(seals):",
        "if False:",
        ("test_gather",),
    ),
    Break(
        2,
        "forward/late_shards.py",
        "for _, position in ranked[:spare]",
        "for _, position in ranked",
        ("test_late_shards",),
    ),
    Break(
        6,
        "forward/remote_parts.py",
        "for upstream in best[: route.max_upstreams]",
        "for upstream in best",
        ("test_remote_parts",),
    ),
    Break(
        8,
        "daemon/feed_sources.py",
        "failed = failures > self._failures",
        "failed = failures > 0",
        ("test_unresponsive_store",),
    ),
)

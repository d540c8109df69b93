"""Numbered log events, metrics and the service-level burn report."""

from __future__ import annotations

from sequoiapulley.observe.log_event import LogEvent, LogSink, Severity, all_events, define_event

__all__ = ["LogEvent", "LogSink", "Severity", "all_events", "define_event"]

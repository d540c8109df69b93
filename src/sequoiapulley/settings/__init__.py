"""Parsing and validation of the configuration text and of the daemon's settings file."""

from __future__ import annotations

from sequoiapulley.settings.daemon_settings import (
    DaemonSettings,
    Endpoint,
    load_settings,
    parse_settings,
)
from sequoiapulley.settings.finding import Finding
from sequoiapulley.settings.text import parse_configuration, parse_configuration_in_steps

__all__ = [
    "DaemonSettings",
    "Endpoint",
    "Finding",
    "load_settings",
    "parse_configuration",
    "parse_configuration_in_steps",
    "parse_settings",
]

"""The body of every HTTP error answer."""

from __future__ import annotations

from msgspec import Struct


class ErrorDetail(Struct, frozen=True):
    """What went wrong, for programs and for people."""

    code: str
    message: str


class ErrorBody(Struct, frozen=True):
    """The body of every error answer."""

    error: ErrorDetail

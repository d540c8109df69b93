"""The JSON body of HTTP error answers."""

from __future__ import annotations

from msgspec import Struct


class ErrorDetail(Struct, frozen=True):
    """Code for programs and message for people."""

    code: str
    message: str


class ErrorBody(Struct, frozen=True):
    """The body of every error answer."""

    error: ErrorDetail

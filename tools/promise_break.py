"""A source mutation that the tests of a promise must detect."""

from __future__ import annotations

from msgspec import Struct


class Break(Struct, frozen=True):
    """A mutation of one place in the source, and the tests expected to detect it."""

    promise: int
    """Number of the promise in docs/PROMISES.md."""
    module: str
    """Path of the mutated file, relative to src/sequoiapulley."""
    original: str
    """Text to replace; it occurs exactly once in the file."""
    replacement: str
    """Text that breaks the promise, put in its place."""
    tests: tuple[str, ...]
    """Test modules; at least one of them must fail after the replacement."""

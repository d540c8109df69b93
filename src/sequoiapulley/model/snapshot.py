"""Versions of the index and the shard map that a search reads."""

from __future__ import annotations

from msgspec import Struct


class Snapshot(Struct, frozen=True, order=True, array_like=True):
    """A consistent state of all shards of a service; a later snapshot compares greater."""

    shard_map: int
    """Version of the mapping of data to shards."""
    index: int
    """Version of the index contents."""

    def __str__(self) -> str:
        """Returns the wire form, `<shard map>.<index>`."""
        return f"{self.shard_map}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> Snapshot:
        """Parses the wire form.

        Args:
            text: `<shard map>.<index>`, both decimal integers.

        Returns:
            The snapshot.

        Raises:
            ValueError: If the text is malformed.
        """
        shard_map, separator, index = text.partition(".")
        if not separator:
            raise ValueError(f"snapshot {text!r} contains no dot")
        return cls(shard_map=int(shard_map), index=int(index))

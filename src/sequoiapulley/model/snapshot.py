"""The version of index and shard map that one search reads."""

from __future__ import annotations

from msgspec import Struct


class Snapshot(Struct, frozen=True, order=True, array_like=True):
    """One consistent state of all shards of a service; later snapshots compare greater."""

    shard_map: int
    """Version of the partitioning of data into shards."""
    index: int
    """Version of the index contents."""

    def __str__(self) -> str:
        """Returns the wire form, `<shard map>.<index>`."""
        return f"{self.shard_map}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> Snapshot:
        """Reads the wire form.

        Args:
            text: `<shard map>.<index>`, both decimal.

        Returns:
            The snapshot.

        Raises:
            ValueError: If the text has another form.
        """
        shard_map, separator, index = text.partition(".")
        if not separator:
            raise ValueError(f"snapshot {text!r} lacks a dot")
        return cls(shard_map=int(shard_map), index=int(index))

"""Options that every command shares."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Final

from cyclopts import Parameter

DEFAULT_NODE: Final = "127.0.0.1:9300"
NODE_ENV_VAR: Final = "SEQUOIAPULLEY_NODE"


@Parameter(name="*")
@dataclass(frozen=True)
class Options:
    """Options that every command shares."""

    node: Annotated[
        tuple[str, ...],
        Parameter(env_var=NODE_ENV_VAR, negative="", consume_multiple=False),
    ] = (DEFAULT_NODE,)
    """Operators' HOST:PORT of a node; if repeated, the next one is tried on failure."""
    json: Annotated[bool, Parameter(negative="")] = False
    """Print one JSON document instead of text."""
    timeout: Annotated[float, Parameter(negative="")] = 5.0
    """Seconds to wait for one answer."""


DEFAULT_OPTIONS: Final = Options()

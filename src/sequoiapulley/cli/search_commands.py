"""What a caller would see: entry addresses and searches."""

from __future__ import annotations

from typing import Annotated, Final

from cyclopts import Parameter

from sequoiapulley.cli.exit_code import CliError, ExitCode
from sequoiapulley.cli.node_client import Answer, NodeClient
from sequoiapulley.cli.options import DEFAULT_OPTIONS, Options
from sequoiapulley.cli.output import format_table, print_json
from sequoiapulley.entry.callers_messages import EntriesView, SearchBody, SearchView
from sequoiapulley.entry.operators_messages import StatusView

ANSWER_STATUSES: Final = frozenset({200, 422, 503})
"""Statuses under which a search still has an answer that lists its shards."""


def entries(
    *,
    caller: str = "",
    failure_domain: Annotated[str, Parameter(name="--place")] = "",
    opts: Options = DEFAULT_OPTIONS,
) -> int:
    """Show which addresses a caller is told to use.

    Example: sequoiapulley entries --caller desk-7 --place burnaby-a

    Parameters
    ----------
    caller
        Name of the caller; answers spread callers over the nodes by it.
    failure_domain
        Failure domain that the caller is nearest to.
    opts
        Options of every command.
    """
    client = NodeClient(opts.node, opts.timeout)
    query = {key: value for key, value in (("caller", caller), ("place", failure_domain)) if value}
    view = client.get("/v1/entries", **query).expect(EntriesView)
    if opts.json:
        print_json(view)
        return ExitCode.OK
    rows = [(f"{item.host}:{item.port}", item.node, item.failure_domain) for item in view.addresses]
    print(format_table(("ADDRESS", "NODE", "PLACE"), rows))
    print(f"valid for {view.lifetime_s:g} s")
    return ExitCode.OK


def search(
    service: str,
    query: str,
    /,
    *,
    limit: int = 10,
    deadline_ms: Annotated[float | None, Parameter(negative="")] = None,
    min_coverage: Annotated[float | None, Parameter(negative="")] = None,
    callers: str = "",
    opts: Options = DEFAULT_OPTIONS,
) -> int:
    """Search a service as a caller would, and show what the answer covers.

    Example: sequoiapulley search planner-desk "grey tile" --deadline-ms 200

    Parameters
    ----------
    service
        Name of a service of the operators' text.
    query
        Query text.
    limit
        Most hits to show.
    deadline_ms
        Time limit; without it, the service's own.
    min_coverage
        Share of shards, 0 to 1, that makes the answer complete; without it, the service's own.
    callers
        Callers' HOST:PORT of a node; without it, that of the first node that answers.
    opts
        Options of every command.
    """
    address = callers or _callers_address(opts)
    body = SearchBody(query, limit, deadline_ms, min_coverage)
    answer = NodeClient((address,), opts.timeout).post(f"/v1/services/{service}/search", body)
    view = _read_answer(answer)
    if opts.json:
        print_json(view)
    else:
        _print_answer(view)
    return ExitCode.OK if view.complete else ExitCode.PARTIAL


def _callers_address(opts: Options) -> str:
    status = NodeClient(opts.node, opts.timeout).get("/v1/status").expect(StatusView)
    if status.callers_address:
        return status.callers_address
    message = f"node {status.node} does not tell its callers' address"
    raise CliError(ExitCode.UNREACHABLE, message, "Name it with --callers HOST:PORT.")


def _read_answer(answer: Answer) -> SearchView:
    """Returns the answer, also a refused one, or raises the node's own error."""
    if answer.status in ANSWER_STATUSES and b'"covered"' in answer.body:
        return answer.decode(SearchView)
    message = f"node {answer.node} did not run the search: {answer.error()}"
    remedy = "See the services with: sequoiapulley config show"
    raise CliError(ExitCode.USAGE if answer.status < 500 else ExitCode.UNREACHABLE, message, remedy)


def _print_answer(view: SearchView) -> None:
    rows = [
        (f"{hit.score:g}", hit.id, hit.shard, " ".join(f"{k}={v}" for k, v in hit.fields.items()))
        for hit in view.hits
    ]
    if rows:
        print(format_table(("SCORE", "ID", "SHARD", "FIELDS"), rows))
    total = len(view.covered) + len(view.lacking)
    verdict = "complete" if view.complete else "INCOMPLETE"
    print(
        f"{verdict}: {len(view.covered)} of {total} shards at snapshot {view.snapshot or 'none'} "
        f"in {view.elapsed_ms:.1f} ms, request {view.request_id}"
    )
    for lacking in view.lacking:
        print(f"  lacking {lacking.shard}: {lacking.reason}")

"""Commands that make a caller's requests: entry addresses and searches."""

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
"""Statuses of answers whose body may list the covered and missing shards."""


def entries(
    *,
    caller: str = "",
    failure_domain: Annotated[str, Parameter(name="--place")] = "",
    opts: Options = DEFAULT_OPTIONS,
) -> int:
    """Show the entry addresses that a caller receives.

    Example: sequoiapulley entries --caller desk-7 --place burnaby-a

    Parameters
    ----------
    caller
        Name of the caller, by which callers are distributed over the nodes.
    failure_domain
        Failure domain of the caller, or the nearest one.
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
    """Search a service as a caller would, and show the hits and the shards covered.

    Example: sequoiapulley search planner-desk "grey tile" --deadline-ms 200

    Parameters
    ----------
    service
        Name of a service in the configuration.
    query
        Query text.
    limit
        Maximum number of hits.
    deadline_ms
        Deadline in milliseconds. Defaults to that of the service.
    min_coverage
        Share of shards, 0 to 1, at which the answer is complete. Defaults to that of the service.
    callers
        Callers' HOST:PORT of a node. Defaults to that of the first node that answers.
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
    message = f"node {status.node} does not report its callers' address"
    raise CliError(ExitCode.UNREACHABLE, message, "Give it with --callers HOST:PORT.")


def _read_answer(answer: Answer) -> SearchView:
    """Returns the answer, whose status is not 200 if all shards refused the search.

    An error body has no list of covered shards, which tells it from an answer of the same status.

    Raises:
        CliError: If the node did not run the search (with the node's message) or the body is
            invalid.
    """
    if answer.status in ANSWER_STATUSES and b'"covered"' in answer.body:
        return answer.decode(SearchView)
    message = f"node {answer.node} did not run the search: {answer.error_message()}"
    remedy = "List the services with: sequoiapulley config show"
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

"""The command that explains where a request would go."""

from typing import Annotated
from urllib.parse import urlencode, urlsplit

import typer

from ebonystream.cli._client import AdminClient, Json
from ebonystream.cli._exit import ExitCode
from ebonystream.cli._explanation import format_explanation
from ebonystream.cli._options import AsJson, exit_bad_input, print_response

MAX_TIME_LEFT_MS = 86_400_000

Address = Annotated[
    str,
    typer.Argument(help='Address or URL of the metrics port of a host.'),
]
Method = Annotated[str, typer.Option(help='Method of the request.')]
RequestUrl = Annotated[
    str,
    typer.Argument(help='Host name and path of the request, as a URL.'),
]
WorkspaceOption = Annotated[
    str | None,
    typer.Option(help='Workspace whose key the request has; none if left out.'),
]
TimeLeft = Annotated[
    float | None,
    typer.Option(
        min=0,
        max=MAX_TIME_LEFT_MS,
        help="Time until the caller's deadline, in milliseconds.",
    ),
]


def explain(
    address: Address,
    url: RequestUrl,
    method: Method = 'GET',
    workspace: WorkspaceOption = None,
    time_left_ms: TimeLeft = None,
    as_json: AsJson = False,
) -> None:
    """Explain where an entry host would send a request, and send nothing."""
    parts = urlsplit(url if '://' in url else f'//{url}')
    if not parts.hostname:
        exit_bad_input(f'no host name: {url}')
    fields = {
        'method': method,
        'host': parts.hostname,
        'path': parts.path or '/',
        'workspace': workspace,
        'time_left_ms': time_left_ms,
    }
    given = {name: field for name, field in fields.items() if field is not None}
    explanation = _get(address, f'/explain?{urlencode(given)}')
    print_response(explanation, format_explanation, as_json=as_json)
    if explanation['error'] is not None:
        raise typer.Exit(ExitCode.REFUSED)


def _get(address: str, path: str) -> Json:
    has_scheme = '://' in address
    base_url = address if has_scheme else f'http://{address}'
    explanation = AdminClient(base_url.rstrip('/'), None).get(path)
    if 'depends_on_probes' not in explanation:
        typer.echo(f'{base_url}: no known answer', err=True)
        raise typer.Exit(ExitCode.UNREACHABLE)
    return explanation

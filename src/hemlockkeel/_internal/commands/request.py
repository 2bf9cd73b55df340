"""``hemlockkeel request``: send one request and print the response."""

import contextlib
import http.client
import json
import typing
import urllib.parse

import typer

from hemlockkeel._internal.cli import exit_codes
from hemlockkeel._internal.cli import options
from hemlockkeel._internal.utils import bounded_http

app = typer.Typer(add_completion=False)
TIMEOUT_S = 300.0
DATA_PREFIX = "data: "
LAST_EVENT = "[DONE]"


@app.command()
def request(
    prompt: typing.Annotated[
        str, typer.Argument(help="prompt, or request body for a plain service")
    ],
    model: typing.Annotated[
        str, typer.Option("--model", help="adapter, name@version")
    ] = "",
    service: typing.Annotated[
        str,
        typer.Option("--service", help="plain service and path, NAME/PATH"),
    ] = "",
    entry_url: typing.Annotated[
        str,
        typer.Option(
            "--entry-url",
            envvar="HEMLOCKKEEL_ENTRY_URL",
            help="URL of an entry, http://host:port",
        ),
    ] = "http://127.0.0.1:8080",
    max_tokens: typing.Annotated[int, typer.Option("--max-tokens")] = 16,
    key: typing.Annotated[
        str, typer.Option("--key", help="idempotency key")
    ] = "",
    as_json: options.AsJson = False,
) -> None:
    """Send one request and print the response as it arrives."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key
    path, body = make_request(prompt, model, service, max_tokens, as_json)
    parts = urllib.parse.urlsplit(entry_url)
    connection = bounded_http.Connection(
        parts.hostname or "",
        parts.port,
        TIMEOUT_S,
        bounded_http.MAX_STREAM_BYTES,
    )
    with contextlib.closing(connection):
        try:
            connection.request("POST", path, body, headers)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            text = f"hemlockkeel: no response from {entry_url}: {error}"
            typer.echo(text, err=True)
            raise typer.Exit(exit_codes.UNAVAILABLE) from error
        try:
            print_response(response)
        except (OSError, http.client.HTTPException) as error:
            typer.echo(f"hemlockkeel: the response ended: {error}", err=True)
            raise typer.Exit(exit_codes.FAILED) from error


def make_request(
    prompt: str, model: str, service: str, max_tokens: int, as_json: bool
) -> tuple[str, bytes]:
    """Return the path and body of a request.

    The response is streamed unless it is printed as JSON.
    """
    if service:
        return f"/services/{service}", prompt.encode()
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": not as_json,
    }
    return "/v1/completions", json.dumps(body).encode()


def print_response(response: http.client.HTTPResponse) -> None:
    """Print a response, event by event if it is streamed.

    :raises typer.Exit: when the status or an event is an error, or the stream
        ends without its last event.
    """
    content_type = response.getheader("Content-Type", "")
    if not content_type.startswith("text/event-stream"):
        text = response.read().decode(errors="replace")
        typer.echo(text)
        if response.status >= http.client.BAD_REQUEST:
            raise typer.Exit(exit_codes.FAILED)
        return
    failed = done = False
    for raw in response:
        line = raw.decode(errors="replace").rstrip("\n")
        failed = failed or line == "event: error"
        done = done or line == DATA_PREFIX + LAST_EVENT
        if line.startswith(DATA_PREFIX):
            print_event(line[len(DATA_PREFIX) :])
    typer.echo("")
    if not failed and not done:
        typer.echo("hemlockkeel: the stream has no last event", err=True)
    if failed or not done:
        raise typer.Exit(exit_codes.FAILED)


def print_event(text: str) -> None:
    """Print the text of one server-sent event, or its error."""
    if text == LAST_EVENT:
        return
    event = json.loads(text)
    if "error" in event:
        typer.echo(text, err=True)
        return
    typer.echo(event["choices"][0].get("text", ""), nl=False)

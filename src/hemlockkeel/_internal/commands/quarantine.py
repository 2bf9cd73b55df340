"""``hemlockkeel quarantine``: requests suspected of crashing targets."""

import typing

import typer

from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)


@app.command()
def quarantine(
    release: typing.Annotated[
        str, typer.Option("--release", help="digest of a request to release")
    ] = "",
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    operator: options.Operator = "",
    change_id: options.ChangeId = "",
    as_json: options.AsJson = False,
) -> None:
    """List suspected and quarantined requests, or release one."""
    client = options.make_client(control_url, admin_token)
    if release:
        reply = client.call(
            "POST",
            "/v1/quarantine",
            {
                "change_id": options.get_change_id(change_id),
                "operator": options.get_operator(operator),
                "digest": release,
            },
        )
        options.print_result(
            reply, as_json, f"request {release} is released from quarantine"
        )
        return
    reply = client.call("GET", "/v1/quarantine")
    rows = [["DIGEST", "CRASHES", "ALONE", "QUARANTINED"]]
    for suspect in reply["suspects"]:
        rows.append(
            [
                suspect["digest"],
                str(len(suspect["crashes"])),
                str(suspect["alone_crashes"]),
                "yes" if suspect["quarantined_until"] else "no",
            ]
        )
    options.print_result(reply, as_json, options.format_table(rows))

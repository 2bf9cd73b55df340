"""``hemlockkeel audit``: print the audit log of changes."""

import datetime
import typing

import typer

from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)


@app.command()
def audit(
    limit: typing.Annotated[
        int, typer.Option("--limit", help="maximum number of lines")
    ] = 50,
    by: typing.Annotated[
        str, typer.Option("--by", help="only changes by this operator")
    ] = "",
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """Show who changed what and when, the versions and the outcome."""
    client = options.make_client(control_url, admin_token)
    reply = client.call("GET", f"/v1/audit?limit={limit}&operator={by}")
    rows = [["TIME", "OPERATOR", "ACTION", "FROM", "TO", "OUTCOME", "WHAT"]]
    for line in reply["audit"]:
        at = datetime.datetime.fromtimestamp(line["at"], datetime.UTC)
        rows.append(
            [
                at.strftime("%Y-%m-%dT%H:%M:%SZ"),
                line["operator"],
                line["action"],
                str(line["from_version"]),
                str(line["version"]),
                line["status"],
                line["detail"],
            ]
        )
    options.print_result(reply, as_json, options.format_table(rows))

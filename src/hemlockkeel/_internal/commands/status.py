"""``hemlockkeel status``: summary of the configuration and members."""

import typing

import typer

from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)


@app.command()
def status(
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """Show the version, the members that lag, the leader and all members."""
    client = options.make_client(control_url, admin_token)
    reply = client.call("GET", "/v1/status")
    options.print_result(reply, as_json, format_status(reply))


def format_status(reply: dict[str, typing.Any]) -> str:
    """Return the status as text."""
    control = reply["control"]
    lagging = ", ".join(reply["lagging"]) or "nobody"
    lines = [
        f"version {reply['version']}, "
        + ("in force everywhere" if reply["in_force"] else "not in force yet")
        + f"; lagging: {lagging}",
        f"control: leader {control['leader']} in term {control['term']}, "
        f"{len(control['peers'])} members",
        "items: "
        + ", ".join(f"{k} {n}" for k, n in sorted(reply["counts"].items())),
        "",
    ]
    rows = [["MEMBER", "ROLE", "STATE", "DATA CENTRE", "ADDRESS"]]
    for member in reply["members"]:
        description = member["description"]
        rows.append(
            [
                description["member_id"],
                description["role"],
                "drained" if member["drained"] else member["state"],
                description["data_centre"],
                description["address"] or "-",
            ]
        )
    lines.append(options.format_table(rows))
    return "\n".join(lines)

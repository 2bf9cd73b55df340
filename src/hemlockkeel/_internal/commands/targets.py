"""``hemlockkeel targets``: list the registered targets."""

import typer

from hemlockkeel._internal.cli import options

app = typer.Typer(add_completion=False)


@app.command()
def targets(
    control_url: options.ControlUrl = "",
    admin_token: options.AdminToken = "",
    as_json: options.AsJson = False,
) -> None:
    """List every target with its service, state and number of slots."""
    client = options.make_client(control_url, admin_token)
    reply = client.call("GET", "/v1/targets")
    rows = [["TARGET", "SERVICE", "KIND", "STATE", "BATCH", "ADAPTERS", "AT"]]
    for member in reply["targets"]:
        description = member["description"]
        target = description["target"]
        rows.append(
            [
                target["target_id"],
                target["service"],
                target["kind"],
                "drained" if member["drained"] else member["state"],
                str(target["batch_slots"]),
                str(target["adapter_slots"]),
                description["data_centre"],
            ]
        )
    options.print_result(reply, as_json, options.format_table(rows))

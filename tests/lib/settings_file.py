"""Renders settings files in the format of the platform."""

SETTINGS = """\
nodeName={name}
ip={ip}
zone=dc1
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{api}
app={app}
service=e
portRange={links},{agents}
seedNodes={seeds}
bootstrap={bootstrap}
heartbeatMs=1200
bounds.graceS={grace}
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=58
bounds.requireFence=true
{extra}dataDir={data}
"""


def render(**values: object) -> str:
    """Return the text of a settings file.

    ``extra`` are complete lines that are added.
    """
    return SETTINGS.format(**{"extra": "", **values})

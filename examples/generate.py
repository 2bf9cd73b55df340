"""Generates the example declarations at the sizes in use today."""

import pathlib

ADAPTER_COUNT = 3000  # in each example
FOLDER = pathlib.Path(__file__).parent

BUSHLINE = """\
# Bushline Entries: orienteering entries across the state.
format = 1

[sites.tas-north]
data_centres = ["launceston-hall", "devonport-hall", "burnie-hall"]
weight_store_loads_per_second = 4.0

[services.entries-app]
priority = "high"
idempotent_methods = ["GET", "HEAD"]

[deployments.entry-checks]
base_model = "scribe-7b"
service = "scribe-models"
priority = "high"
stall_weight = 0.9
batch_weight = 0.1
adapters = [
{checks}
]

[deployments.advice]
base_model = "scribe-7b"
service = "scribe-models"
priority = "low"
stall_weight = 0.9
batch_weight = 0.1
hold_ms = 400
adapters = [
{advice}
]
"""

BUSHLINE_OVERLAY = """\
# Overlay of bushline.toml for the site tas-north.
format = 1

[deployments.advice]
hold_ms = 600
"""

SUMMONS = """\
# The Summons Response Desk: drafts and confirmations for courts.
format = 1

[sites.hanoi]
data_centres = ["hoan-kiem", "cau-giay", "long-bien", "ha-dong"]
weight_store_loads_per_second = 3.0

[services.juror-portal]
priority = "high"
idempotent_methods = ["GET", "HEAD"]

[deployments.drafting]
base_model = "draft-13b"
service = "drafting-llm"
priority = "normal"
stall_weight = 0.2
batch_weight = 0.8
hold_ms = 800
adapters = [
{drafts}
]
"""

SUMMONS_OVERLAY = """\
# Overlay of summons.toml for the site hanoi.
format = 1

[services.juror-portal]
priority = "high"
"""


def make_names(prefix: str, count: int) -> str:
    """Return TOML lines that declare adapters at version 1."""
    return "\n".join(f'  "{prefix}-{n:04}@1",' for n in range(count))


def main() -> None:
    """Write all example files."""
    half = ADAPTER_COUNT // 2
    files = {
        "bushline.toml": BUSHLINE.format(
            checks=make_names("check", half), advice=make_names("club", half)
        ),
        "bushline-tas-north.toml": BUSHLINE_OVERLAY,
        "summons.toml": SUMMONS.format(
            drafts=make_names("court", ADAPTER_COUNT)
        ),
        "summons-hanoi.toml": SUMMONS_OVERLAY,
    }
    for name, text in files.items():
        (FOLDER / name).write_text(text)


if __name__ == "__main__":
    main()

"""Seeds that once broke a promise, and why."""

# Seed, length of its faults in seconds, and the cause.
REGRESSIONS = [
    (
        1011,
        15.0,
        "the end of a target was acknowledged by a member that had never"
        " heard of it, and no entry was told",
    ),
]

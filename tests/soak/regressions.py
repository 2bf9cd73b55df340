"""Seeds that once violated an invariant, and the cause."""

# Seed, duration of fault injection in seconds, and the cause.
REGRESSIONS = [
    (
        1011,
        15.0,
        "a member that had no record of a target acknowledged its removal"
        " without telling any entry",
    ),
]

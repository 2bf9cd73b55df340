"""Seeds that once violated an invariant, and the cause."""

# Seed, duration of fault injection in seconds, and the cause.
REGRESSIONS = [
    (
        1011,
        15.0,
        "a member that had no record of a target acknowledged its removal"
        " without telling any entry",
    ),
    (
        9304,
        15.0,
        "a pause that a restarted target asked for was forgotten when the"
        " announcement of its new incarnation arrived later",
    ),
]

"""Log lines of the form ``event key=value ...``."""

from absl import logging


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    logging.info("%s", format_fields(event, fields))


def log_error(event: str, **fields: object) -> None:
    """Log an event that needs an operator's attention, at level ERROR."""
    logging.error("%s", format_fields(event, fields))


def format_fields(event: str, fields: dict[str, object]) -> str:
    """Return the log line of an event.

    Values that are empty or contain a space or quote are quoted; double
    quotes inside them become single ones.
    """
    parts = [event]
    for name, value in fields.items():
        text = str(value)
        if " " in text or '"' in text or not text:
            text = '"' + text.replace('"', "'") + '"'
        parts.append(f"{name}={text}")
    return " ".join(parts)

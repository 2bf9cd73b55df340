"""Log lines with fields, for changes of state."""

from absl import logging


def log_event(event: str, **fields: object) -> None:
    """Log one change of state with its fields."""
    logging.info("%s", format_fields(event, fields))


def log_error(event: str, **fields: object) -> None:
    """Log a fault that needs an operator's attention."""
    logging.error("%s", format_fields(event, fields))


def format_fields(event: str, fields: dict[str, object]) -> str:
    """Return ``event key=value ...`` with quoted values where needed."""
    parts = [event]
    for name, value in fields.items():
        text = str(value)
        if " " in text or '"' in text or not text:
            text = '"' + text.replace('"', "'") + '"'
        parts.append(f"{name}={text}")
    return " ".join(parts)

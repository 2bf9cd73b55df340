"""What a request that may have crashed its target is suspected by."""

ADAPTER_PREFIX = "adapter:"


def list_keys(digest: str, adapter: str) -> list[str]:
    """Return the keys of a request's content and of its adapter.

    ``digest`` is that of the content. ``adapter`` includes the version; it is
    empty for the base model.
    """
    return [digest, ADAPTER_PREFIX + adapter] if adapter else [digest]


def is_adapter(key: str) -> bool:
    """Return whether a key is that of an adapter."""
    return key.startswith(ADAPTER_PREFIX)

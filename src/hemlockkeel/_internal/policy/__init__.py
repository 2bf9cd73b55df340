"""Pure decisions on adapters, requests and loads."""

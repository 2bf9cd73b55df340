"""The entry role: answers callers over HTTP."""

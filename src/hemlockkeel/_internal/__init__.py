"""Implementation of hemlockkeel; not part of the public API."""

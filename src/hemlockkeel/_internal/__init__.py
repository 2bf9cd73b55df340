"""Implementation of hemlockkeel; not a public interface."""

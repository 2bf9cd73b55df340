"""Load tests and measurements of hemlockkeel against stand-in targets."""

"""Load and experiment tools of hemlockkeel, against its stand-ins."""

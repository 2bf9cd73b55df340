"""Stand-ins for engines, the weight store and plain services."""

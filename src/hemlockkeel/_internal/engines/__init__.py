"""Engine interface and its HTTP implementation."""

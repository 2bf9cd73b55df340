"""Interface of model engines and its HTTP implementation."""

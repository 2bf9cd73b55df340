"""Small value classes shared by every role."""

"""The entry role: accepts HTTP requests and routes them to targets."""

"""What entries and agents share: control client, view, lease."""

"""Stand-in of the users' platform: its store and its workers, with their protocol."""

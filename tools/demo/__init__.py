"""A small two-data-centre deployment that is run, broken and checked by one command."""

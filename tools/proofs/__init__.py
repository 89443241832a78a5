"""Switch mechanisms off one by one and check that tests notice."""

"""Run a small deployment in two data centres, inject faults and check the results."""

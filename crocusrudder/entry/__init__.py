"""Entry process: the scheduler's HTTP interface, request routing and cell ownership."""

"""Schedule batch jobs in the owner of a cell and run their tasks in the agents."""

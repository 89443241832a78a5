"""Batch jobs: scheduling by the cell's owner and execution by the agent."""

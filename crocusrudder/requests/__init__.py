"""Handling of caller requests: admission, routing, retries and the request ledger."""

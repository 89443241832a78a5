"""Requests of callers: routing, ledger, retries and admission."""

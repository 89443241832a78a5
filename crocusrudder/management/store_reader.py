"""Read the configuration in force from the platform's store."""

from crocusrudder.management import errors


def read(address: str) -> bytes:
    """Return the row of the configuration; raise ``CommandError`` if there is none to be read."""
    # Imported here so that commands that need no store start without the event loop.
    import curio

    from crocusrudder.platform import errors as platform_errors
    from crocusrudder.platform import store

    async def read_row() -> store.StoreRow | None:
        client = store.StoreClient.from_address(address)
        return await client.read_row(store.OPERATOR_TABLE, store.CONFIGURATION_KEY)

    try:
        row = curio.run(read_row)
    except platform_errors.PlatformError as error:
        hint = "check the address, or compare with a file: --against"
        raise errors.StoreUnavailableError(f"store {address}: {error}", hint) from error
    if row is None or row.value is None:
        raise errors.ConfigurationMissingError(f"store {address}: no configuration is in force")
    return row.value

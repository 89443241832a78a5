"""Errors of the settings."""

from crocusrudder.core import errors


class SettingsError(errors.CrocusrudderError):
    """Base of the settings errors."""

    code = "CR-CONF-000"


class SettingsUnreadableError(SettingsError):
    """Report a settings file that cannot be read."""

    code = "CR-CONF-001"

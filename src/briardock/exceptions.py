"""Exceptions of the package; each message tells the user the cause and the remedy."""


class BriardockError(Exception):
    """Base class of all errors that end a command or the start of a process.

    :param message: what is wrong
    :param remedy: what the user can do about it
    """

    exit_code = 1

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(f"{message}; {remedy}" if remedy else message)
        self.message = message
        self.remedy = remedy


class SettingsError(BriardockError):
    """A settings file is missing, unreadable or contains an invalid value."""

    exit_code = 2


class ConfigurationError(BriardockError):
    """A configuration folder does not pass its checks."""

    exit_code = 3


class PublishConflictError(BriardockError):
    """Another publish changed the same file first."""

    exit_code = 4


class LogUnavailableError(BriardockError):
    """The platform's log service cannot be reached or responded with an error."""

    exit_code = 5


class NodeUnavailableError(BriardockError):
    """A node's admin endpoint cannot be reached or refused the request."""

    exit_code = 6

"""Parser for addresses given on the command line."""

from briardock.exceptions import BriardockError


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of a ``host:port`` text.

    :raises BriardockError: if the text is not a valid address
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise BriardockError(
            f"'{text}' is not HOST:PORT", "write it like 127.0.0.1:8403"
        )
    return host.strip("[]"), int(port)

"""Functions that open TCP listeners."""

import anyio
import anyio.abc

from briardock.exceptions import SettingsError
from briardock.listener import AnyListener


async def listen(host: str, port: int, key: str) -> AnyListener:
    """Bind one TCP listener.

    :param host: numeric local address
    :param port: port, 0 for any free port
    :param key: name of the setting, for the error message
    :raises SettingsError: if the address is in use or not local
    """
    try:
        multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
    except OSError as error:
        raise SettingsError(
            f"cannot bind {key} {host}:{port}: {error}",
            "choose a free port and a local address",
        ) from error
    return multi.listeners[0]


def port_of(listener: AnyListener) -> int:
    """Return the bound port of a listener."""
    return listener.extra(anyio.abc.SocketAttribute.local_port)

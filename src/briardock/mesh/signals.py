"""Signals of a node: SIGTERM and SIGINT stop it, SIGHUP reloads its settings."""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType


def handle_signals(on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
    """Handle the signals in the running event loop.

    A handler of the loop is removed as the loop is closed, and SIGHUP would then end
    the process.

    :param on_stop: called when the node has to stop
    :param on_reload: called when its settings may have changed
    """
    loop = asyncio.get_running_loop()

    def handle_reload(signum: int, frame: FrameType | None) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(on_reload)

    loop.add_signal_handler(signal.SIGTERM, on_stop)
    loop.add_signal_handler(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, handle_reload)


def ignore_reload() -> None:
    """Ignore SIGHUP: the interpreter removes other handlers before it exits."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

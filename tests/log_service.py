"""Runs the stand-in log service in a thread of the test process."""

import asyncio
import contextlib
import random
import socket
import threading
from collections.abc import Iterator

import httpx
from hypercorn.asyncio import serve

from briardock.clock import Clock, SystemClock
from briardock_standins.log import LogApp, make_config


class LogService:
    """Address and fault injection of a running stand-in log."""

    def __init__(self, port: int) -> None:
        self.host = "127.0.0.1"
        self.port = port
        self.address = f"{self.host}:{port}"

    def set_fault(self, mode: str, delay_ms: float = 0.0, count: int = 0) -> None:
        content = {"mode": mode, "delay_ms": delay_ms, "count": count}
        httpx.post(f"http://{self.address}/faults", json=content).raise_for_status()


@contextlib.contextmanager
def running_log(
    retention_records: int = 1000, clock: Clock | None = None
) -> Iterator[LogService]:
    """Serve a log on a free port for the duration of the block."""
    listener = socket.create_server(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    # The server closes the descriptor itself.
    descriptor = listener.detach()
    started = threading.Event()
    loops: list[tuple[asyncio.AbstractEventLoop, asyncio.Event]] = []

    async def run() -> None:
        stop = asyncio.Event()
        loops.append((asyncio.get_running_loop(), stop))
        started.set()
        config = make_config(f"fd://{descriptor}")
        config.loglevel = "ERROR"
        app = LogApp(retention_records, random.Random(1), clock or SystemClock())
        await serve(app, config, shutdown_trigger=stop.wait)  # type: ignore[arg-type]

    thread = threading.Thread(target=lambda: asyncio.run(run()))
    thread.start()
    started.wait()
    try:
        yield LogService(port)
    finally:
        loop, stop = loops[0]
        loop.call_soon_threadsafe(stop.set)
        thread.join()

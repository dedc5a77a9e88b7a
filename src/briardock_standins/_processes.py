"""Processes and ports that the harness manages."""

import ctypes
import os
import signal
import socket
import subprocess
import threading
from pathlib import Path

PR_SET_PDEATHSIG = 1
TAIL_BYTES = 2_000
KILL_BOUND_S = 10.0

_libc = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class PortPool:
    """Free TCP ports, held against other processes for the life of the pool.

    The sockets that hold them are bound but do not listen, so a listener that sets
    ``SO_REUSEADDR`` can still bind them, and no outgoing connection is given one.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def take(self) -> int:
        """Return a free port."""
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", 0))
        self._held.append(held)
        port: int = held.getsockname()[1]
        return port

    def release(self) -> None:
        """Give all ports back."""
        while self._held:
            self._held.pop().close()


class ManagedProcess:
    """A child process that writes its output to files.

    :param name: name of the output files
    :param command: program and arguments
    :param folder: where the output goes
    """

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self._cpu_s = 0.0
        self._output = folder / f"{name}.out"
        self._errors = folder / f"{name}.err"
        # The signal is tied to the thread that starts the process, so it is asked
        # for only where that thread lives as long as this process.
        in_main = threading.current_thread() is threading.main_thread()
        with self._output.open("wb") as output, self._errors.open("ab") as errors:
            self._popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                preexec_fn=_die_with_parent if in_main else None,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def poll(self) -> int | None:
        """Return the exit code, or ``None`` while it runs."""
        return self._popen.poll()

    def is_running(self) -> bool:
        """Return whether it runs; a frozen process does."""
        return self.poll() is None

    def output(self) -> bytes:
        """Return its standard output so far."""
        return self._output.read_bytes()

    def tail(self) -> str:
        """Return the end of its standard error."""
        return self._errors.read_bytes()[-TAIL_BYTES:].decode(errors="replace")

    def cpu_s(self) -> float:
        """Return the CPU time it has used; the last one known after its end."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2]
        except OSError:
            return self._cpu_s
        user, system = fields.split()[11:13]
        self._cpu_s = (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
        return self._cpu_s

    def kill(self) -> None:
        """End it at once with SIGKILL and wait for its end."""
        self.cpu_s()
        self._signal(signal.SIGKILL)
        self._popen.wait(KILL_BOUND_S)

    def freeze(self) -> None:
        """Stop it with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after :meth:`freeze`."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to end, with SIGTERM."""
        self._signal(signal.SIGTERM)

    def end(self, bound_s: float) -> None:
        """Wait for its end and kill it if the bound passes.

        :param bound_s: time to wait
        """
        try:
            self._popen.wait(max(bound_s, 0.0))
        except subprocess.TimeoutExpired:
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self._popen.send_signal(number)

"""Child processes and reserved ports of the harness."""

import ctypes
import os
import signal
import socket
import subprocess
import threading
from pathlib import Path

PR_SET_PDEATHSIG = 1
STDERR_TAIL_BYTES = 2_000
KILL_TIMEOUT_S = 10.0

_libc = ctypes.CDLL(None, use_errno=True)


def _set_parent_death_signal() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class PortPool:
    """Reserves free TCP ports until the pool is released.

    The sockets that reserve the ports are bound but do not listen: a listener that
    sets ``SO_REUSEADDR`` can still bind such a port, and the kernel does not choose
    it as the source port of an outgoing connection.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a free port and return it."""
        reserved = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        self._sockets.append(reserved)
        port: int = reserved.getsockname()[1]
        return port

    def release(self) -> None:
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()


class ManagedProcess:
    """A child process whose output goes to files.

    :param name: base name of the output files
    :param command: program and arguments
    :param folder: folder of the output files
    """

    def __init__(self, name: str, command: list[str], folder: Path) -> None:
        self.name = name
        self._cpu_s = 0.0
        self._output = folder / f"{name}.out"
        self._errors = folder / f"{name}.err"
        # The kernel sends the signal when the thread that started the child ends, so
        # it is requested only in the main thread, which lives as long as the process.
        in_main_thread = threading.current_thread() is threading.main_thread()
        with self._output.open("wb") as output, self._errors.open("ab") as errors:
            self._popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                preexec_fn=_set_parent_death_signal if in_main_thread else None,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def poll(self) -> int | None:
        """Return the exit code, or ``None`` while the process runs."""
        return self._popen.poll()

    def is_running(self) -> bool:
        """Return whether the process has not exited; a frozen one counts as running."""
        return self.poll() is None

    def output(self) -> bytes:
        """Return the standard output so far."""
        return self._output.read_bytes()

    def tail(self) -> str:
        """Return the last part of the standard error."""
        return self._errors.read_bytes()[-STDERR_TAIL_BYTES:].decode(errors="replace")

    def cpu_s(self) -> float:
        """Return the CPU time used; after the exit, the last value read."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2]
        except OSError:
            return self._cpu_s
        user, system = fields.split()[11:13]
        self._cpu_s = (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
        return self._cpu_s

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        self.cpu_s()
        self._signal(signal.SIGKILL)
        self._popen.wait(KILL_TIMEOUT_S)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process after :meth:`freeze`."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM, without waiting for the exit."""
        self._signal(signal.SIGTERM)

    def wait_or_kill(self, timeout_s: float) -> None:
        """Wait until the process has exited and kill it after a timeout.

        :param timeout_s: time to wait before the kill
        """
        try:
            self._popen.wait(max(timeout_s, 0.0))
        except subprocess.TimeoutExpired:
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running():
            self._popen.send_signal(number)

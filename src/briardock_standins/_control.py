"""HTTP requests that read the state of a deployment's processes and inject faults."""

from typing import Any

import httpx

from briardock_standins.deployments import Instance

REQUEST_TIMEOUT_S = 5.0


class ControlClient:
    """Reads the state of the processes of a deployment and injects faults."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.log_port = 0
        self.relay_control = ""
        self._http = httpx.Client(timeout=REQUEST_TIMEOUT_S, trust_env=False)

    def close(self) -> None:
        """Close the connections."""
        self._http.close()

    def is_responding(self, url: str) -> bool:
        """Return whether a server responds with a status below 500.

        :raises httpx.HTTPError: if it does not respond
        """
        return self._http.get(url).status_code < 500

    def status(self, name: str) -> dict[str, Any]:
        """Return ``GET /status`` of a node."""
        return self.admin_get(name, "/status")

    def admin_get(self, name: str, path: str) -> dict[str, Any]:
        """Return the JSON response of a node's operator endpoint.

        :param name: node id
        :param path: path with query
        :raises httpx.HTTPError: if the node does not respond or returns an error
        """
        response = self._http.get(f"http://{self.instances[name].admin}{path}")
        response.raise_for_status()
        content: dict[str, Any] = response.json()
        return content

    def target_status(self, name: str) -> dict[str, Any]:
        """Return ``GET /status`` of the target beside a node."""
        url = f"http://{self.instances[name].control}/status"
        content: dict[str, Any] = self._http.get(url).raise_for_status().json()
        return content

    def set_target_faults(self, name: str, **faults: object) -> None:
        """Set the faults of the target beside a node and reset all that are not given.

        :param name: node id
        :param faults: fields of :class:`briardock_standins._state.Faults`
        """
        self._post(f"http://{self.instances[name].control}/faults", faults)

    def set_log_faults(self, mode: str, delay_ms: int = 0, count: int = 0) -> None:
        """Set the fault of the stand-in for the log service.

        :param mode: ``none``, ``outage``, ``slow`` or ``lose_ack``
        :param delay_ms: delay of each response
        :param count: requests affected, 0 for all
        """
        body = {"mode": mode, "delay_ms": delay_ms, "count": count}
        self._post(f"http://127.0.0.1:{self.log_port}/faults", body)

    def set_path(
        self, source: str, destination: str, mode: str, delay_ms: float = 0.0
    ) -> None:
        """Refuse, hold or pass the traffic between two domains in both directions.

        :param source: failure domain
        :param destination: failure domain or ``platform``
        :param mode: ``open``, ``refuse`` or ``black-hole``
        :param delay_ms: one-way delay
        """
        body = {"source": source, "destination": destination, "mode": mode}
        url = f"http://{self.relay_control}/paths"
        self._post(url, body | {"delay_ms": delay_ms})

    def _post(self, url: str, body: object) -> None:
        self._http.post(url, json=body).raise_for_status()

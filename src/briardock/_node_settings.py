"""Convert the settings of the process to the settings of each component."""

from dataclasses import replace

from briardock._catalog import Policy, Service
from briardock.admission import AdmissionSettings
from briardock.limiter import LimiterSettings
from briardock.listener import HttpLimits
from briardock.quarantine import QuarantineSettings
from briardock.routing import RoutingSettings
from briardock.settings import NodeSettings

CALLER_IDLE_TIMEOUT_S = 75.0


def http_limits(settings: NodeSettings) -> HttpLimits:
    """Return the size, connection and idle limits of the caller listener.

    :param settings: settings of the process
    """
    node = settings.node
    return HttpLimits(
        node.max_header_kb * 1024,
        node.max_body_kb * 1024,
        node.max_connections,
        CALLER_IDLE_TIMEOUT_S,
    )


def admission_settings(settings: NodeSettings) -> AdmissionSettings:
    """Return the settings of admission and its limiter.

    :param settings: settings of the process
    """
    section = settings.admission
    return AdmissionSettings(
        window_ms=float(section.window_ms),
        overload_wait_ms=float(section.overload_wait_ms),
        limiter=LimiterSettings(
            min_limit=section.min_limit,
            max_limit=section.max_limit,
            initial_limit=section.initial_limit,
            cold_start_s=section.cold_start_s,
        ),
    )


def with_policy(settings: AdmissionSettings, policy: Policy) -> AdmissionSettings:
    """Return admission settings with the queue limits of the published policy.

    :param settings: admission settings of the process
    :param policy: policy in force
    """
    return replace(
        settings,
        queue_length=policy.queue_length,
        max_wait_least_critical_ms=float(policy.sojourn_ms),
        max_wait_most_critical_ms=float(policy.critical_sojourn_ms),
    )


def target_cold_start_s(settings: NodeSettings, service: Service | None) -> float:
    """Return the cold start time of a target: that of its service, else the setting.

    :param settings: settings of the process
    :param service: published service of the target
    """
    if service is None or service.cold_start_s is None:
        return settings.admission.cold_start_s
    return service.cold_start_s


def routing_settings(settings: NodeSettings) -> RoutingSettings:
    """Return the settings of the router.

    :param settings: settings of the process
    """
    section = settings.routing
    return RoutingSettings(
        eject_base_ms=section.eject_s * 1_000.0, eject_max_share=section.eject_share
    )


def quarantine_settings(settings: NodeSettings) -> QuarantineSettings:
    """Return the settings of the quarantine.

    :param settings: settings of the process
    """
    section = settings.quarantine
    return QuarantineSettings(
        section.deaths, float(section.expiry_s), section.max_entries
    )

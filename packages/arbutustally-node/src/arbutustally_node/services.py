"""The services of a node in the order in which they start."""

from random import Random

from arbutustally.clock import monotonic
from arbutustally.metrics import Metrics
from arbutustally.placement import Placement
from arbutustally_node.admission import AdmissionService
from arbutustally_node.booking_service import BookingService
from arbutustally_node.caller_http import CallerHttp
from arbutustally_node.directory_service import DirectoryService
from arbutustally_node.explain import ExplainService
from arbutustally_node.kernel import Kernel
from arbutustally_node.keys import Keys
from arbutustally_node.limits_service import LimitsService
from arbutustally_node.log_service import LogService
from arbutustally_node.membership import MembershipService
from arbutustally_node.operator_http import OperatorHttp
from arbutustally_node.options import Options
from arbutustally_node.peers import PeersService
from arbutustally_node.pool import PoolService
from arbutustally_node.streams import StreamsService
from arbutustally_node.version_service import VersionService

METRICS_PREFIX = "arbutustally"

# Listeners for callers and operators start last, so that no request meets a service that has not
# started, and stop first.
_SERVICES = (
    ("explain", ExplainService),
    ("peers", PeersService),
    ("membership", MembershipService),
    ("log", LogService),
    ("keys", Keys),
    ("limits", LimitsService),
    ("directory", DirectoryService),
    ("fairness", AdmissionService),
    ("versions", VersionService),
    ("pool", PoolService),
    ("streams", StreamsService),
    ("bookings", BookingService),
    ("operator_http", OperatorHttp),
    ("caller_http", CallerHttp),
)


def register_services(kernel: Kernel, options: Options) -> None:
    """Builds every service of the node and registers it by name."""
    kernel.register("options", options)
    metrics = Metrics.from_config(options.statsd_host, options.statsd_port, METRICS_PREFIX)
    kernel.register("metrics", metrics)
    kernel.register("placement", Placement.from_config(monotonic, Random()))
    for name, service in _SERVICES:
        kernel.register(name, service.from_config(kernel, options))

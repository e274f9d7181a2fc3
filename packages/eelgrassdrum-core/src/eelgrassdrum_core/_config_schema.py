"""
Schema of configuration documents.

There is one document for the fleet and one for each workspace. Optional fields are marked
``NotRequired``; `eelgrassdrum_core._config_validate` fills in their defaults.
"""

from typing import Annotated, Literal, NotRequired

from pydantic import Field, TypeAdapter
from typing_extensions import TypedDict

FLEET = "fleet"
"""Name of the fleet document, and prefix of references to its services."""

ANY_WORKSPACE = "*"
"""Scope of an operator who may act on every workspace."""

_NAME = "[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"

NAME_PATTERN = f"^{_NAME}$"
"""Names occur in subjects, URLs and key texts, so slash, space and underscore are excluded."""

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
ServiceReference = Annotated[str, Field(pattern=f"^({FLEET}/)?{_NAME}$")]
OptionalServiceReference = Annotated[str, Field(pattern=f"^(({FLEET}/)?{_NAME})?$")]
Scope = Annotated[str, Field(pattern=rf"^(\*|{_NAME})$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Count = Annotated[int, Field(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Field(ge=1, le=1_000_000)]
ByteCount = Annotated[int, Field(ge=1, le=1 << 40)]
Seconds = Annotated[float, Field(ge=0, le=604_800, allow_inf_nan=False)]
PositiveSeconds = Annotated[float, Field(gt=0, le=604_800, allow_inf_nan=False)]
Weight = Annotated[float, Field(ge=0, le=1_000, allow_inf_nan=False)]
Share = Annotated[float, Field(gt=0, le=1_000_000, allow_inf_nan=False)]
Fraction = Annotated[float, Field(gt=0, lt=1, allow_inf_nan=False)]


class Service(TypedDict):
    """
    A service and its availability budget; every workspace may use a shared service.

    The budget is the fraction or the count of executors that may be down at once. A rendered
    document always contains the count.
    """

    name: Name
    executors: PositiveCount
    availability_budget: NotRequired[Fraction]
    max_unavailable: NotRequired[Count]
    shared: NotRequired[bool]


class Queue(TypedDict):
    """
    A queue that accepts callers' requests for one service.
    """

    name: Name
    service: ServiceReference
    access: Literal["keyed", "open"]
    max_queued: PositiveCount
    max_bytes: ByteCount
    max_wait_s: PositiveSeconds
    max_run_s: PositiveSeconds


class Team(TypedDict):
    """
    A team's share when the fleet is full, and its upper limit across the fleet.
    """

    name: Name
    share: Share
    limit: PositiveCount
    reserved: NotRequired[Count]
    grace_s: NotRequired[Seconds]


class PoolSize(TypedDict):
    """
    Minimum, target and maximum number of instances in a pool.
    """

    min: Count
    target: Count
    max: PositiveCount


class Pool(TypedDict):
    """
    A set of instances with the same role and service; a spare pool needs no service.
    """

    name: Name
    role: Literal["endpoint", "worker"]
    service: NotRequired[OptionalServiceReference]
    size: PoolSize
    spare: NotRequired[bool]


class Measures(TypedDict):
    """
    Weights of the objectives of fleet planning.
    """

    roll_out_time: Weight
    buffer_cost: Weight
    closeness_to_share: Weight


class Operator(TypedDict):
    """
    An operator, the workspaces in scope, and the digest of the secret of the operator's key.
    """

    name: Name
    scopes: Annotated[list[Scope], Field(min_length=1)]
    digest: Digest


class FleetDocument(TypedDict):
    """
    The document of the fleet.
    """

    name: Literal["fleet"]
    zones: Annotated[list[Name], Field(min_length=1)]
    measures: Measures
    operators: NotRequired[list[Operator]]
    services: NotRequired[list[Service]]
    pools: NotRequired[list[Pool]]


class WorkspaceDocument(TypedDict):
    """
    The document of one workspace.
    """

    name: Name
    services: NotRequired[list[Service]]
    pools: NotRequired[list[Pool]]
    queues: NotRequired[list[Queue]]
    teams: NotRequired[list[Team]]


Document = FleetDocument | WorkspaceDocument


class DocumentBody(TypedDict):
    """
    The body of a ``document.published`` record.
    """

    name: str
    document: Document
    author: str
    comment: str


class KeyGrantedBody(TypedDict):
    """
    The body of a ``key.granted`` record; an empty list of queues permits every keyed queue of the
    workspace.
    """

    key_id: Name
    workspace: Name
    team: Name
    digest: Digest
    queues: list[Name]


class KeyWithdrawnBody(TypedDict):
    """
    The body of a ``key.withdrawn`` record.
    """

    workspace: Name
    key_id: Name


FLEET_ADAPTER: TypeAdapter[FleetDocument] = TypeAdapter(FleetDocument)
WORKSPACE_ADAPTER: TypeAdapter[WorkspaceDocument] = TypeAdapter(WorkspaceDocument)
KEY_GRANTED_ADAPTER: TypeAdapter[KeyGrantedBody] = TypeAdapter(KeyGrantedBody)
KEY_WITHDRAWN_ADAPTER: TypeAdapter[KeyWithdrawnBody] = TypeAdapter(KeyWithdrawnBody)

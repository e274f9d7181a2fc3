"""
Starts entry instances and what they need around them, and tells the platform about it.
"""

import sys
from typing import Any, NamedTuple

import msgspec

from eelgrassdrum_core import DOCUMENT_PUBLISHED, KEY_GRANTED, KEY_WITHDRAWN, digest_secret

from ._http_client import Answer, call
from ._process import Process, Start, standin_command
from ._wait import wait_until

READY_PATH = "/readyz"
RECORDS_PATH = "/v1/streams/control/records"
INSTANCES_PATH = "/v1/instances"
LOOPBACK_ANY_PORT = "127.0.0.1:0"
STATUS_OK = 200
VOTING_EVENT = '"claims.recovered"'


class Platform(NamedTuple):
    """
    The stand-ins for the platform's services.
    """

    log: Process
    list: Process


class Endpoint(NamedTuple):
    """
    One endpoint as the platform lists it.
    """

    id: str
    zone: str
    service: str
    slots: int


class Writer(msgspec.Struct):
    """
    An operator that appends to the log, and the revisions that it has written.
    """

    log_address: str
    name: str = "operator"
    incarnation: int = 1
    sequence: int = 0
    revisions: dict[str, int] = msgspec.field(default_factory=dict)


def start_platform(start: Start, lag_s: float = 0.0) -> Platform:
    """
    Start the log and the list.

    :param start: starts a process.
    :param lag_s: seconds by which the list lags.
    :returns: both.
    """
    log = start("log", standin_command("log"))
    return Platform(log, start("list", standin_command("list", lag_s=lag_s)))


def daemon_command(
    instance: str, zone: str, log_address: str, list_address: str, **options: object
) -> list[str]:
    """
    Write the command line of an entry instance.

    :param instance: its id.
    :param zone: its availability zone.
    :param log_address: ``IP:PORT`` of the log.
    :param list_address: ``IP:PORT`` of the list.
    :param options: more settings, with underscores for hyphens.
    :returns: the arguments.
    """
    settings = {
        "instance": instance,
        "zone": zone,
        "listen": LOOPBACK_ANY_PORT,
        "peer_listen": LOOPBACK_ANY_PORT,
        "log_url": f"http://{log_address}",
        "list_url": f"http://{list_address}",
        **options,
    }
    flags = [
        part
        for name, value in settings.items()
        for part in (f"--{name.replace('_', '-')}", str(value))
    ]
    return [sys.executable, "-m", "eelgrassdrum_daemon", *flags]


def start_daemon(
    start: Start, platform: Platform, instance: str, zone: str, **options: object
) -> Process:
    """
    Start an entry instance, without waiting until it may be sent callers.

    :param start: starts a process.
    :param platform: the platform's services.
    :param instance: its id.
    :param zone: its availability zone.
    :param options: more settings, with underscores for hyphens.
    :returns: the process.
    """
    command = daemon_command(instance, zone, platform.log.address, platform.list.address, **options)
    return start(instance, command)


def wait_ready(daemon: Process) -> None:
    """
    Wait until an entry instance may be sent callers.

    :param daemon: the entry instance.
    """
    wait_until(lambda: call(daemon.address, "GET", READY_PATH).status == STATUS_OK)


def wait_voting(daemon: Process) -> None:
    """
    Wait until an entry instance has recovered its claims, so that it votes on those of others.

    :param daemon: the entry instance, started recently.
    """
    wait_until(lambda: any(VOTING_EVENT in line for line in list(daemon.output)))


def list_endpoint(platform: Platform, endpoint: Endpoint, address: str, state: str) -> None:
    """
    Put an endpoint into the platform's list.

    :param platform: the platform's services.
    :param endpoint: the endpoint.
    :param address: ``IP:PORT``.
    :param state: ``live`` or ``leaving``.
    """
    entry = {**endpoint._asdict(), "role": "endpoint", "address": address, "state": state}
    put_instance(platform, entry)


def put_instance(platform: Platform, entry: dict[str, Any]) -> None:
    """
    Put an entry into the platform's list.

    :param platform: the platform's services.
    :param entry: the entry, with its id.
    """
    answer = call(platform.list.address, "PUT", f"{INSTANCES_PATH}/{entry['id']}", entry)
    _require_ok(answer)


def append(
    writer: Writer, kind: str, subject: str, body: dict[str, Any], *, is_checked: bool = True
) -> int:
    """
    Append a record that builds on the newest of its subject.

    :param writer: who appends.
    :param kind: kind of the record.
    :param subject: what it changes.
    :param body: its fields.
    :param is_checked: whether the fold checks what it builds on.
    :returns: its offset.
    """
    writer.sequence += 1
    record_id = {
        "writer": writer.name,
        "incarnation": writer.incarnation,
        "sequence": writer.sequence,
    }
    base = writer.revisions.get(subject, 0) if is_checked else None
    record = {"id": record_id, "kind": kind, "subject": subject, "base": base, "body": body}
    answer = call(writer.log_address, "POST", RECORDS_PATH, [record])
    _require_ok(answer)
    [offset] = msgspec.json.decode(answer.body)["offsets"]
    writer.revisions[subject] = offset
    return offset


def publish(writer: Writer, name: str, document: dict[str, Any]) -> int:
    """
    Publish a document.

    :param writer: who publishes.
    :param name: the workspace, or ``fleet``.
    :param document: the document.
    :returns: its revision.
    """
    body = {"name": name, "document": document, "author": writer.name, "comment": ""}
    return append(writer, DOCUMENT_PUBLISHED, f"document/{name}", body)


def grant_key(writer: Writer, workspace: str, team: str, key_id: str, secret: str) -> str:
    """
    Grant a key that opens every queue of a workspace.

    :param writer: who grants.
    :param workspace: the workspace.
    :param team: the team.
    :param key_id: the key's id.
    :param secret: the key's secret.
    :returns: the key's text.
    """
    body = {
        "key_id": key_id,
        "workspace": workspace,
        "team": team,
        "digest": digest_secret(secret),
        "queues": [],
    }
    append(writer, KEY_GRANTED, f"key/{workspace}/{key_id}", body)
    return f"egd_{key_id}_{secret}"


def withdraw_key(writer: Writer, workspace: str, key_id: str) -> int:
    """
    Withdraw a key.

    :param writer: who withdraws.
    :param workspace: the workspace.
    :param key_id: the key's id.
    :returns: the record's offset.
    """
    body = {"key_id": key_id, "workspace": workspace}
    subject = f"key/{workspace}/{key_id}"
    return append(writer, KEY_WITHDRAWN, subject, body, is_checked=False)


def _require_ok(answer: Answer) -> None:
    if answer.status != STATUS_OK:
        raise RuntimeError(f"the platform answered {answer.status}: {answer.body!r}")

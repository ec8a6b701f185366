"""Steps for CURVE keys between real processes."""

import configparser
import re
import socket
import threading

import zmq
from behave import given, then, when

from cactuswalk.messages import Envelope, Join, encode
from cactuswalk.model import Member
from cactuswalk.runtime.keys import address_with_key
from features.process_faults_load import (
    MAX_WAIT_S,
    Load,
    find_faults,
    send_request,
    small_cluster,
)
from features.steps.process_faults_steps import add_clean_up, wait_served
from tools.processes import wait_until
from tools.rolling import refusals_of, roll

REFUSED_STRANGERS = re.compile(rb"transport\.stranger_refused:(\d+)\|c")
BROKEN_HANDSHAKES = re.compile(rb"transport\.handshake_broken:(\d+)\|c")
STRANGER = "w4"


class StrangerCounter:
    """A statsd server on the loopback that counts refused connections."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.port = self.socket.getsockname()[1]
        self.refused_strangers = 0
        self.broken_handshakes = 0
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while packet := self.socket.recv(65_536):
            self.refused_strangers += sum(map(int, REFUSED_STRANGERS.findall(packet)))
            self.broken_handshakes += sum(map(int, BROKEN_HANDSHAKES.findall(packet)))

    def close(self):
        self.socket.sendto(b"", ("127.0.0.1", self.port))


def make_key_pair():
    return [key.decode() for key in zmq.curve_keypair()]


def edit_settings(cluster, name, **sections):
    """Replace options in a process's settings file."""
    path = cluster.directory / f"{name}.ini"
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    parser.read(path, encoding="utf-8")
    for section, options in sections.items():
        if not parser.has_section(section):
            parser.add_section(section)
        for option, value in options.items():
            parser.set(section, option, str(value))
    with path.open("w", encoding="utf-8") as file:
        parser.write(file)


def list_members(cluster):
    return [name for name in cluster.processes if name.startswith(("agent", "entry"))]


def set_keys(context, keys, allowed):
    """Write a key pair and the allowed keys into all settings."""
    cluster = context.cluster
    curve = {"public_key": keys[0], "secret_key": keys[1]}
    curve["allowed_keys"] = " ".join(allowed)
    for name in list_members(cluster):
        edit_settings(cluster, name, curve=curve)
    for name in cluster.entry_names:
        others = [cluster.addresses[one] for one in cluster.entry_names if one != name]
        keyed = [address_with_key(address, keys[0]) for address in others]
        edit_settings(cluster, name, peers={"addresses": " ".join(keyed)})


@given("a deployment of three workers with one key pair")
def step_deployment(context):
    context.counter = StrangerCounter()
    add_clean_up(context, context.counter.close)
    context.cluster = small_cluster(4)
    add_clean_up(context, context.cluster.close)
    context.strangers = {
        name: context.cluster.processes.pop(name)
        for name in (f"agent-{STRANGER}", f"upstream-{STRANGER}")
    }
    context.cluster.workers.pop(STRANGER)
    context.keys = make_key_pair()
    for name in list_members(context.cluster):
        statsd = {"host": "127.0.0.1", "port": context.counter.port}
        edit_settings(context.cluster, name, statsd=statsd)
    set_keys(context, context.keys, [context.keys[0]])


@given("a stranger's agent without a key beside them")
def step_no_key(context):
    """Its settings have no section for keys by default.

    Either end may be first to detect the mismatch. If the stranger is, it closes
    the connection for good, and the other end counts a broken handshake.
    """
    context.count_strangers = lambda: (
        context.counter.refused_strangers + context.counter.broken_handshakes
    )


@given("a stranger's agent with a key that is not known beside them")
def step_other_key(context):
    context.count_strangers = lambda: context.counter.refused_strangers
    public, secret = make_key_pair()
    allowed = f"{public} {context.keys[0]}"
    curve = {"public_key": public, "secret_key": secret, "allowed_keys": allowed}
    edit_settings(context.cluster, f"agent-{STRANGER}", curve=curve)


@when("the deployment with keys starts")
def step_start(context):
    context.cluster.__enter__()
    context.cluster.wait_ready()
    wait_served(context.cluster)


@then("each entry of the deployment with keys serves")
def step_serves(context):
    wait_served(context.cluster)


@then("messages between processes of the deployment with keys are encrypted")
def step_encrypted(context):
    """Send a frame to an agent through a proxy that records the bytes."""
    secret = "confidential-mark"
    address = context.cluster.addresses["agent-w1"].removeprefix("tcp://")
    host, port = address.split(":")
    listener = socket.create_server(("127.0.0.1", 0))
    received = bytearray()

    def forward():
        client, _ = listener.accept()
        server = socket.create_connection((host, int(port)))

        def copy(source, target, is_recorded):
            while data := source.recv(65_536):
                if is_recorded:
                    received.extend(data)
                target.sendall(data)

        threading.Thread(target=copy, args=(server, client, 0), daemon=True).start()
        copy(client, server, 1)

    threading.Thread(target=forward, daemon=True).start()
    with zmq.Context() as sending, sending.socket(zmq.PUSH) as push:
        push.curve_publickey, push.curve_secretkey = map(str.encode, context.keys)
        push.curve_serverkey = context.keys[0].encode()
        push.immediate = 1
        push.sndtimeo = int(MAX_WAIT_S * 1000)
        push.linger = 0
        push.connect(f"tcp://127.0.0.1:{listener.getsockname()[1]}")
        member = Member(secret, "0", "tcp://127.0.0.1:9")
        frame = encode(Envelope("tcp://127.0.0.1:9", [Join("other", member, None)]))
        assert secret.encode() in frame
        push.send(frame)
        wait_until(lambda: len(received) > len(frame), MAX_WAIT_S, "the frame")
        wait_until(lambda: b"CURVE" in received, MAX_WAIT_S, "the greeting")
    assert secret.encode() not in received


@when("the stranger's agent runs until it has been counted")
def step_stranger(context):
    before = context.count_strangers()
    for process in context.strangers.values():
        add_clean_up(context, process.end)
        process.start()
    wait_until(
        lambda: context.count_strangers() > before, MAX_WAIT_S, "a stranger's count"
    )


@then("the stranger's agent is on no roster and got no work")
def step_nowhere(context):
    for _ in range(40):
        assert send_request(context.cluster).outcome == "answered"
    assert not context.cluster.is_ready(f"agent-{STRANGER}")
    assert all(process.alive for process in context.strangers.values())
    for name in list_members(context.cluster):
        log = context.cluster[name].log.read_text(encoding="utf-8")
        assert f'"{STRANGER}"' not in log, f"{name} knows the stranger"
    record = context.cluster.directory / f"upstream-{STRANGER}.records"
    assert not record.exists() or not record.read_text(encoding="utf-8")


@when("its load runs while the keys are rotated in three steps")
def step_rotate(context):
    load = context.load = Load(context.cluster, balanced=True)
    load.start()
    load.wait_answered(15)
    old, new = context.keys, make_key_pair()
    names = list_members(context.cluster)
    for keys, allowed in (
        (old, [old[0], new[0]]),
        (new, [old[0], new[0]]),
        (new, [new[0]]),
    ):
        set_keys(context, keys, allowed)
        statuses = {one.name: one.status for one in roll(context.cluster, names)}
        assert not any(statuses.values()), statuses
    load.wait_answered(15)
    context.new_keys = new


@then("the rotation's load was answered completely, nothing cut off or refused")
def step_uncut_rotation(context):
    sent = context.load.finish()
    found, refused = find_faults(sent, context.cluster), refusals_of(sent)
    print(f"{len(sent)} sent, {context.load.disconnects} cut off, refused {refused}")
    assert not found, found[:10]
    assert not refused, refused
    assert not context.load.disconnects, context.load.disconnects
    assert context.counter.refused_strangers == 0, context.counter.refused_strangers


@then("the old key of the deployment is refused by each process")
def step_old_refused(context):
    for name in list_members(context.cluster):
        before = context.counter.refused_strangers
        with zmq.Context() as trying, trying.socket(zmq.PUSH) as push:
            push.curve_publickey, push.curve_secretkey = map(str.encode, context.keys)
            push.curve_serverkey = context.new_keys[0].encode()
            push.linger = 0
            push.connect(context.cluster.addresses[name])
            wait_until(
                lambda before=before: context.counter.refused_strangers > before,
                MAX_WAIT_S,
                f"{name}'s refusal",
            )

"""Steps on the sockets between processes."""

import asyncio
import socket
import time

from behave import given, then, when

from cactuswalk.dispatch import messages
from cactuswalk.dispatch.messages import ConfigurationRequest
from cactuswalk.runtime.transport import Transport

POLL_SECONDS = 0.05


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"tcp://127.0.0.1:{listener.getsockname()[1]}"


class Link:
    """A sender and a receiver, which is polled as an application does it.

    :ivar batches: how often the receiver looked for a batch of frames.
    """

    def __init__(self, batch_seconds):
        self.received = []
        self.batches = 0
        self.may_batch = True
        self.sent = 0
        self.sender = Transport(
            free_address(), self.receive, self.ignore, codec=messages
        )
        self.receiver = Transport(
            free_address(),
            self.receive,
            self.ignore,
            codec=messages,
            batch_seconds=batch_seconds,
            may_batch=lambda: self.may_batch,
        )
        receive_batch = self.receiver._receive_batch

        def count_batch():
            self.batches += 1
            receive_batch()

        self.receiver._receive_batch = count_batch

    def receive(self, _, message):
        self.received.append(message.version)

    def ignore(self, *_):
        pass

    async def run(self, messages_sent, quiet_seconds):
        """Send messages, wait, and send one more without polling the receiver."""
        self.sender.open()
        self.receiver.open()
        polling = asyncio.create_task(self.poll())
        for _ in range(messages_sent):
            self.send()
            await asyncio.sleep(0.001)
        await asyncio.sleep(quiet_seconds + POLL_SECONDS)
        self.burst = list(self.received)
        polling.cancel()
        self.send()
        began_at = time.monotonic()
        while len(self.received) == len(self.burst):
            if time.monotonic() > began_at + 2:
                break
            await asyncio.sleep(0.005)
        self.sender.close()
        self.receiver.close()

    def send(self):
        self.sent += 1
        message = ConfigurationRequest(self.sent)
        self.sender.send(self.receiver.address, message, time.monotonic())
        self.sender.flush()

    async def poll(self):
        while True:
            await asyncio.sleep(POLL_SECONDS)
            self.receiver.poll()


@given("two transports, of which one receives many frames in batches")
def step_batches(context):
    context.link = Link(0.004)
    context.quiet_seconds = 0.0


@given("two transports without batches")
def step_no_batches(context):
    context.link = Link(0.0)
    context.quiet_seconds = 0.0


@when("{count:d} messages are sent, one each millisecond")
def step_send(context, count):
    context.count = count


@when("nothing is sent for {seconds:g} seconds")
def step_quiet(context, seconds):
    context.quiet_seconds = seconds


def play(context):
    if not context.link.sent:
        asyncio.run(context.link.run(context.count, context.quiet_seconds))


@then("all messages have arrived in order")
def step_in_order(context):
    play(context)
    assert context.link.burst == list(range(1, context.count + 1)), context.link.burst


@when("frames may not wait")
def step_no_waiting(context):
    context.link.may_batch = False


@then("most of them came in batches")
def step_batched(context):
    assert 10 < context.link.batches < context.count / 2, context.link.batches


@then("none of them came in a batch")
def step_not_batched(context):
    assert not context.link.batches


@then("a message arrives though the receiver isn't polled")
def step_at_once(context):
    play(context)
    assert len(context.link.received) == len(context.link.burst) + 1

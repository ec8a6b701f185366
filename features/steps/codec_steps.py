"""Steps for encoding and decoding messages."""

from behave import given, then, when

from cactuswalk.errors import CactuswalkError
from cactuswalk.messages import Cancel, Envelope, Ping, decode, encode
from cactuswalk.model import Member


@given("bytes that are not an envelope")
def step_bytes(context):
    context.frame = b"\x93\x01\x02\x03"


@when("they are decoded")
def step_decode(context):
    try:
        decode(context.frame)
    except CactuswalkError as error:
        context.error = error


@then('the error code is "{code}" and there is a remedy')
def step_code(context, code):
    assert context.error.code == code, context.error
    assert context.error.remedy


@given("an envelope with a cancel and a ping")
def step_envelope(context):
    owner = Member("w1", "a", "tcp://127.0.0.1:1")
    ping = Ping("cell", 3, owner, 7, 12, 0, [owner])
    context.envelope = Envelope("tcp://127.0.0.1:2", [Cancel("team/key"), ping])


@when("it is encoded and decoded")
def step_round_trip(context):
    context.decoded = decode(encode(context.envelope))


@then("the decoded envelope equals the original")
def step_same(context):
    assert context.decoded == context.envelope

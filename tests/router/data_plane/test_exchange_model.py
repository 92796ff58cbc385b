"""Explores all event orders up to a depth for two requests on one connection; detects broken variants."""

from __future__ import annotations

import os
import unittest
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import patch

from exchange_model import Explorer, Setting, Violation
from gateway_bench import ENGINE, configuration, route

from mallowbeam.http.client import ConnectionBrokenError, Link
from mallowbeam.http.framing import Channel, Message
from mallowbeam.router.data_plane import attempt
from mallowbeam.router.data_plane.attempt import Attempt, OutboundRequest
from mallowbeam.router.data_plane.link_pool import LinkPool
from mallowbeam.router.data_plane.outcomes import AttemptEnd, judge_answer
from mallowbeam.router.data_plane.send_policy import SendPolicy, SendTicket
from mallowbeam.router.streams.progress import StreamProgress

MAX_EVENTS = int(os.environ.get("EXCHANGE_DEPTH", "4"))  # events in one order
SHOW = "EXCHANGE_SHOW" in os.environ
ROUTES = configuration(
    route("/unsafe/", "unsafe"),
    route("/safe/", "safe"),
    route("/stream/", "stream", gap_aim_ms=100),
    route("/apart/", "stream", ENGINE, gap_aim_ms=100),
)
SETTINGS = {
    "held": Setting(),
    "many_connections": Setting(connections=10),
    "passed_on": Setting(buffered=False),
    "large": Setting(large=True),
    "until_close": Setting(until_close=True),
    "until_close_large": Setting(until_close=True, large=True),
    "until_close_passed_on": Setting(until_close=True, buffered=False),
    "until_close_stream": Setting(target=b"/stream/", until_close=True),
    "stream": Setting(target=b"/stream/"),
    "stream_large": Setting(target=b"/stream/", large=True),
    "repeatable": Setting(target=b"/safe/", idempotent=True),
    "repeatable_large": Setting(target=b"/safe/", idempotent=True, large=True),
    "apart": Setting(target=b"/apart/", separate_prefill=True),
    "apart_freed": Setting(target=b"/apart/", separate_prefill=True, first_rejected=True),
    "apart_large": Setting(target=b"/apart/", separate_prefill=True, large=True),
}


class Orders(unittest.TestCase):
    def explore(self, name: str) -> None:
        explorer = Explorer(SETTINGS[name], ROUTES)
        explorer.explore(MAX_EVENTS)
        self.assertGreater(explorer.runs, 2**MAX_EVENTS)
        if SHOW:
            print(name, explorer.runs, "orders")


def _add(name: str) -> None:
    setattr(Orders, f"test_{name}", lambda self: self.explore(name))


for _name in SETTINGS:
    _add(_name)


# ------------------------------------------------------------ deliberately broken variants


def reuse_after_surplus_data(stack: ExitStack) -> None:
    """Unread or already parsed surplus data is ignored."""
    stack.enter_context(patch.object(Channel, "stale", lambda self: self.peek() is False))
    stack.enter_context(
        patch.object(
            Link, "reusable", lambda self, answer: self.request_sent and answer.complete and answer.keep_alive
        )
    )


def reuse_of_an_ended_connection(stack: ExitStack) -> None:
    """The pool does not check before the next request whether the instance has closed the connection."""
    stack.enter_context(patch.object(Channel, "stale", lambda self: self.peek() is True))


def surplus_dropped_with_the_end(stack: ExitStack) -> None:
    """Data that was parsed together with the end of an answer is dropped."""
    more = Link.read_more

    async def forgetting(self: Link, answer: Message) -> None:
        await more(self, answer)
        self.channel.framer.ready.clear()

    stack.enter_context(patch.object(Link, "read_more", forgetting))


def reuse_without_an_answer(stack: ExitStack) -> None:
    """A connection is kept after a time-out, a cancellation or an incomplete answer."""
    give_back = LinkPool.give_back

    def keeping(self: LinkPool, instance: str, link: Link, answer: Message | None) -> None:
        kept = Message()
        kept.complete = link.request_sent = True
        kept.headers = [(b"keep-alive", b"timeout=30")]
        if link.channel.framer.incoming is None and not link.channel.sock.end_received:
            give_back(self, instance, link, kept)
        else:
            give_back(self, instance, link, answer)

    stack.enter_context(patch.object(LinkPool, "give_back", keeping))


def reuse_before_the_request_is_sent(stack: ExitStack) -> None:
    """After an early answer the connection is kept although the request was not sent completely."""

    def reusable(self: Link, answer: Message) -> bool:
        return answer.complete and answer.keep_alive and not answer.until_close and self.channel.framer.empty

    def keeping(self: LinkPool, instance: str, link: Link, answer: Message | None) -> None:
        link.channel._unblock()
        give_back(self, instance, link, answer)

    give_back = LinkPool.give_back
    stack.enter_context(patch.object(Link, "reusable", reusable))
    stack.enter_context(patch.object(LinkPool, "give_back", keeping))


def second_send_after_a_reset(stack: ExitStack) -> None:
    """A connection that broke after the request was written counts as proof that it did not run."""
    ended = SendPolicy.ended

    def trusting(self: SendPolicy, ticket: SendTicket, end: AttemptEnd, now: float) -> None:
        ended(self, ticket, AttemptEnd.NOT_SENT if end is AttemptEnd.BROKEN else end, now)

    stack.enter_context(patch.object(SendPolicy, "ended", trusting))


def second_send_after_part_of_a_request(stack: ExitStack) -> None:
    """A request that the instance has not read completely counts as not run."""
    stack.enter_context(patch.object(Link, "write_started", property(lambda self: self.request_sent)))


def second_send_after_a_time_out(stack: ExitStack) -> None:
    """Silence counts as proof that the request did not run."""
    send = Attempt.send

    async def trusting(self: Attempt, order: OutboundRequest) -> AttemptEnd:
        end = await send(self, replace(order, deadline=order.deadline - 0.5))
        return AttemptEnd.NOT_SENT if end is AttemptEnd.TIMED_OUT else end

    stack.enter_context(patch.object(Attempt, "send", trusting))


def request_ids_not_compared(stack: ExitStack) -> None:
    """An answer is accepted for the pending request, whatever id it carries."""

    def unnamed(answer: Message, request_id: bytes, first: bool, signed: bool = True) -> AttemptEnd:
        echoed = answer.get(b"request-id") or request_id
        return judge_answer(answer, echoed, True, signed)

    stack.enter_context(patch.object(attempt, "judge_answer", unnamed))
    stack.enter_context(patch.object(attempt, "is_late_answer", lambda *_: False))


def answers_without_an_id_accepted(stack: ExitStack) -> None:
    """An answer without a request id is also accepted after an earlier request on the connection."""

    def believing(answer: Message, request_id: bytes, first: bool, signed: bool = True) -> AttemptEnd:
        return judge_answer(answer, request_id, True, signed)

    stack.enter_context(patch.object(attempt, "judge_answer", believing))


def a_reset_counts_as_an_end(stack: ExitStack) -> None:
    """An answer without a length is complete however its connection ends."""
    read = Link._read

    async def forgiving(self: Link) -> bool:
        try:
            return await read(self)
        except ConnectionBrokenError:
            return False

    stack.enter_context(patch.object(Link, "_read", forgiving))


def a_refused_write_is_forgotten(stack: ExitStack) -> None:
    """A reset that a write reported is forgotten, so the next read sees an orderly end."""
    write_rest = Link._write_rest

    async def forgetting(self: Link, rest: list[memoryview]) -> None:
        await write_rest(self, rest)
        self._write_failed = False

    stack.enter_context(patch.object(Link, "_write_rest", forgetting))


def a_cut_event_counts_as_an_end(stack: ExitStack) -> None:
    """A stream without a length counts as complete even inside an event."""
    stack.enter_context(patch.object(StreamProgress, "inside_event", False))


def reuse_after_a_handle_s_release(stack: ExitStack) -> None:
    """The call that frees a handle accepts any answer, although it carries no request id."""
    drop, body = LinkPool.drop, Link.read_body
    read: dict[Link, Message] = {}

    async def noting(self: Link, answer: Message, standstill: float | None = None) -> bytearray:
        body_read = await body(self, answer, standstill)
        read[self] = answer
        return body_read

    def keeping(self: LinkPool, instance: str, link: Link) -> None:
        answer = read.pop(link, None)
        if answer is not None and link.reusable(answer):
            return self.give_back(instance, link, answer)
        return drop(self, instance, link)

    stack.enter_context(patch.object(Link, "read_body", noting))
    stack.enter_context(patch.object(LinkPool, "drop", keeping))


VARIANTS = (
    (reuse_after_surplus_data, "held", "SURPLUS"),
    (reuse_of_an_ended_connection, "held", "ENDED"),
    (surplus_dropped_with_the_end, "held", "SURPLUS"),
    (reuse_without_an_answer, "held", "OWED"),
    (reuse_before_the_request_is_sent, "large", "UNASKED|OWED"),
    (second_send_after_a_reset, "held", "TWICE"),
    (second_send_after_part_of_a_request, "large", "TWICE|REFUSED"),
    (second_send_after_a_time_out, "held", "TWICE|REFUSED"),
    (request_ids_not_compared, "held", "MIXED"),
    (answers_without_an_id_accepted, "held", "MIXED"),
    (a_reset_counts_as_an_end, "until_close", "MIXED"),
    (a_refused_write_is_forgotten, "until_close_large", "MIXED"),
    (reuse_after_a_handle_s_release, "apart_freed", "OWED|SURPLUS"),
    (request_ids_not_compared, "apart", "MIXED"),
    (request_ids_not_compared, "repeatable", "MIXED"),
    (a_cut_event_counts_as_an_end, "until_close_stream", "MIXED"),
)


class BrokenVariants(unittest.TestCase):
    def test_each_variant_is_caught(self) -> None:
        for variant, setting, rule in VARIANTS:
            with self.subTest(variant.__name__), ExitStack() as stack:
                variant(stack)
                with self.assertRaisesRegex(Violation, rule) as caught:
                    Explorer(SETTINGS[setting], ROUTES).explore(MAX_EVENTS)
                if SHOW:
                    print(variant.__name__, caught.exception)


if __name__ == "__main__":
    unittest.main()

"""Answers to callers, made of an upstream's answer."""

from collections import abc

from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import model
from arbutuscove.relay import outcomes
from arbutuscove.relay import replies


def build_answer(reply: replies.Reply, body: bytes) -> model.Answer:
    """Returns an answer whose body has been read."""
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=(body,),
        length=len(body),
    )


def relay_answer(
    attempt: attempt_module.Attempt, reply: replies.Reply, body: bytes
) -> model.Answer:
    """Returns an answer whose body is too long to buffer, as it arrives."""

    def relay() -> abc.Generator[bytes, None, None]:
        try:
            yield body
            while data := attempt.read_more():
                yield data
            attempt.finish()
        except outcomes.AttemptLostError as error:
            raise model.BrokenAnswerError(str(error)) from error
        finally:
            attempt.close()

    chunks = relay()
    # The generator is started here, so that closing it ends the attempt and
    # frees the slot in any case.
    first = next(chunks)
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=prepend(first, chunks),
        length=attempt.get_stated_length(),
    )


def prepend(
    first: bytes, events: abc.Generator[bytes, None, None]
) -> abc.Iterator[bytes]:
    """Yields the first item, then the others; closes `events` in any case."""
    try:
        yield first
        yield from events
    finally:
        events.close()

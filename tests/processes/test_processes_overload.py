"""Load above the capacity of the fleet."""

from concurrent.futures import ThreadPoolExecutor

from openai import OpenAI

from berylwalk.localfleet import AnswerEnd
from berylwalk.standins import expected_text

BURST = 100
URGENT = 12
SHED_CODES = {"queue-full", "evicted"}


def complete_chat(fleet, router, token, text, *, stream):
    """Return the text read by the ``openai`` client, and the expected text."""
    client = OpenAI(api_key=token, base_url=f"{fleet.urls[router]}/v1", max_retries=0)
    messages = [{"role": "user", "content": text}]
    body = {"model": "m1", "messages": messages, "max_tokens": 30}
    with client:
        response = client.chat.completions.create(**body, stream=stream)
        if stream:
            read = "".join(chunk.choices[0].delta.content or "" for chunk in response)
        else:
            read = response.choices[0].message.content
    return read, expected_text(body)


class TestBurst:
    def test_low_tier_is_shed_and_high_tier_is_not(self, fleet, tokens):
        """Low-tier requests of a burst are shed while all urgent ones are served."""
        low = fleet.chats(BURST, tokens=20)
        fleet.wait(lambda: any(call.done() for call in low), "the first response")
        urgent = fleet.chats(URGENT, tokens=20, service="sign-drafts")
        urgent_ends = {response.end for response in fleet.results(urgent)}
        assert urgent_ends == {AnswerEnd.WHOLE}
        responses = fleet.results(low)
        shed = [response for response in responses if response.end is AnswerEnd.NOT_RUN]
        served = [response for response in responses if response.end is AnswerEnd.WHOLE]
        assert shed
        assert len(shed) + len(served) == BURST
        assert {response.code for response in shed} <= SHED_CODES
        assert all(int(response.retry_after) >= 1 for response in shed)


class TestOpenAiClient:
    def test_two_callers_get_their_own_responses(self, fleet, tokens):
        """Concurrent responses of two callers, streamed or not, are not mixed up."""
        with ThreadPoolExecutor(8) as threads:
            futures = [
                threads.submit(
                    complete_chat,
                    fleet,
                    number % 2,
                    tokens[account],
                    f"{account} {number}",
                    stream=number < 2,
                )
                for number in range(4)
                for account in ("parkovisko", "arsivsan")
            ]
            results = [future.result() for future in futures]
        assert all(read == expected for read, expected in results)
        assert len({read for read, _ in results}) == len(results)

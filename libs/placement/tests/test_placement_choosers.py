"""Selection of one of the eligible agents."""

from collections import Counter
from dataclasses import replace
from random import Random

from berylwalk.placement import (
    Candidate,
    PlacementHistory,
    Work,
    corrected_wait_s,
    earliest_finish,
    exclude_stragglers,
    power_of_two,
    preferred_agent,
    prefix_hashes,
    round_robin,
)

LONG_PROMPT = bytes(range(256)) * 64
DOCUMENT = Work(prompt_tokens=4096, output_tokens=10, prefix=prefix_hashes(LONG_PROMPT))


def _candidates(count, **changes):
    return [replace(Candidate(f"a{n}"), **changes) for n in range(count)]


def _chooser(history=None, domain=""):
    history = history or PlacementHistory()
    return earliest_finish(history, failure_domain=domain, rng=Random(1))


class TestEarliestFinish:
    def test_cached_prefix_wins_unless_its_wait_is_longer(self):
        """Affinity does not outweigh a wait longer than the saved prefill."""
        history = PlacementHistory()
        history.record(DOCUMENT.prefix, "a3")
        candidates = _candidates(6)
        choose = _chooser(history)
        assert choose(DOCUMENT, candidates).agent == "a3"
        candidates[3] = replace(candidates[3], wait_s=60.0, load=9.0)
        assert choose(DOCUMENT, candidates).agent != "a3"

    def test_cached_prefix_justifies_a_bounded_wait(self):
        """A short wait is accepted for a cached prefix, a long one is not."""
        history = PlacementHistory()
        history.record(DOCUMENT.prefix, "a3")
        choose = _chooser(history)
        chosen = {}
        for wait_s in (1.0, 20.0):
            candidates = _candidates(6, prefill_tokens_per_s=40_000.0)
            candidates[3] = replace(candidates[3], wait_s=wait_s)
            candidates = [
                replace(each, wait_s=max(each.wait_s, 0.6)) for each in candidates
            ]
            chosen[wait_s] = choose(DOCUMENT, candidates).agent
        assert chosen[1.0] == "a3"
        assert chosen[20.0] != "a3"

    def test_unknown_prefix_goes_to_the_earliest_finish(self):
        """A long prompt without cached prefix does not wait."""
        candidates = _candidates(6, wait_s=0.4, prefill_tokens_per_s=40_000.0)
        candidates[2] = replace(candidates[2], wait_s=0.0)
        assert _chooser()(DOCUMENT, candidates).agent == "a2"

    def test_slow_decoding_agent_gets_short_responses_only(self):
        """The expected finish includes decoding at the agent's own speed."""
        slow_idle = Candidate("slow", token_gap_s=0.05)
        fast_busy = Candidate("fast", token_gap_s=0.01, wait_s=1.0)
        choose = _chooser()
        short = Work(output_tokens=5)
        long = Work(output_tokens=500)
        assert choose(short, [slow_idle, fast_busy]) is slow_idle
        assert choose(long, [slow_idle, fast_busy]) is fast_busy

    def test_prefers_its_failure_domain_unless_the_wait_is_longer(self):
        """The penalty of another failure domain is less than a wait of 0.1 s."""
        near = Candidate("near", failure_domain="x")
        far = Candidate("far", failure_domain="y")
        choose = _chooser(domain="x")
        assert choose(Work(), [far, near]) is near
        waiting = replace(near, wait_s=0.1)
        assert choose(Work(), [far, waiting]) is far

    def test_ties_are_broken_at_random(self):
        """Requests are spread over equal agents."""
        choose = _chooser()
        candidates = _candidates(4)
        counts = Counter(choose(Work(), candidates).agent for _ in range(400))
        assert min(counts[candidate.agent] for candidate in candidates) > 50


class TestPreferredAgent:
    def test_routers_agree_and_move_few_prefixes(self):
        """A new agent takes over its own share of the prefixes only."""
        candidates = _candidates(10)
        works = [Work(prefix=(n * 7919,)) for n in range(500)]
        before = [preferred_agent(work, candidates) for work in works]
        assert before == [preferred_agent(work, candidates[::-1]) for work in works]
        grown = [*candidates, Candidate("new")]
        after = [preferred_agent(work, grown) for work in works]
        moved = [new for old, new in zip(before, after, strict=True) if old != new]
        assert set(moved) == {"new"}
        assert len(moved) < 100

    def test_overloaded_agent_is_skipped(self):
        """A popular prefix does not overload one agent."""
        candidates = _candidates(5)
        preferred = preferred_agent(DOCUMENT, candidates)
        loaded = [
            replace(candidate, load=3.0 if candidate.agent == preferred else 0.1)
            for candidate in candidates
        ]
        assert preferred_agent(DOCUMENT, loaded) not in (preferred, None)


class TestCorrectedWait:
    def test_own_requests_add_to_the_wait_beyond_free_slots(self):
        """A stale digest does not attract a burst of requests."""
        waits = [
            corrected_wait_s(
                reported_wait_s=0.0,
                reported_free_slots=2,
                limit=2,
                own_requests=sent,
                own_service_s=4.0 * sent,
            )
            for sent in range(5)
        ]
        assert waits == [0.0, 0.0, 2.0, 4.0, 6.0]


class TestExcludeStragglers:
    def test_bounded_share_of_the_slowest_is_excluded(self):
        """Most agents stay in use when all are slow."""
        slow = [replace(c, slow=True, token_gap_s=n) for n, c in _numbered(6)]
        kept = {candidate.agent for candidate in exclude_stragglers(slow)}
        assert kept == {"a0", "a1", "a2", "a3"}
        assert exclude_stragglers(slow[:1]) == slow[:1]


class TestBaselines:
    def test_round_robin_continues_after_changes(self):
        """Added and removed agents do not reset the order."""
        choose = round_robin()
        candidates = _candidates(4)
        assert choose(Work(), candidates).agent == "a0"
        assert choose(Work(), candidates).agent == "a1"
        assert choose(Work(), candidates[:1] + candidates[2:]).agent == "a2"
        assert choose(Work(), candidates[:3]).agent == "a0"

    def test_power_of_two_never_chooses_the_longest_wait(self):
        """The agent with the longest wait loses each comparison."""
        candidates = _candidates(3)
        candidates[1] = replace(candidates[1], wait_s=5.0)
        choose = power_of_two(Random(1))
        assert "a1" not in {choose(Work(), candidates).agent for _ in range(100)}


def _numbered(count):
    return list(enumerate(_candidates(count)))

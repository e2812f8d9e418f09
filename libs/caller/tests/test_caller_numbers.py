"""Long prompts of token ids are validated without decoding the numbers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from berylwalk.caller import _json
from berylwalk.caller._bodies import ModelCall, read_chat, read_completion

IDS = list(range(10, 60))


def completion(**fields):
    """Return the body of a completion call."""
    return json.dumps({"model": "m", **fields}).encode()


def read_without_shortening(monkeypatch, body):
    """Parse a completion call with all lists of numbers decoded."""
    with monkeypatch.context() as patch:
        patch.setattr(_json, "_LONG_LIST_START", _json.re.compile(rb"(?!)"))
        return read_completion(body)


class TestLongPrompts:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        prompt=st.lists(st.integers(0, 200_000), min_size=1, max_size=40)
        | st.lists(st.lists(st.integers(0, 200_000), max_size=20), min_size=1),
        compact=st.booleans(),
    )
    def test_same_result_as_full_parsing(self, prompt, compact):
        """Undecoded number lists give the same result as decoded ones."""
        separators = (",", ":") if compact else (" ,\n", ": ")
        body = json.dumps({"model": "m", "prompt": prompt}, separators=separators)
        read = read_completion(body.encode())
        with pytest.MonkeyPatch.context() as monkeypatch:
            expected = read_without_shortening(monkeypatch, body.encode())
        assert read == expected

    @pytest.mark.parametrize("other", [{}, {"other": IDS}, {"user": f"log: {IDS}"}])
    def test_numbers_are_not_decoded(self, monkeypatch, other):
        """Long number lists are never passed to the JSON parser."""
        seen = []
        loads = json.loads

        def recording_loads(text, **options):
            seen.append(len(text))
            return loads(text, **options)

        monkeypatch.setattr(_json.json, "loads", recording_loads)
        read = read_completion(completion(prompt=IDS * 1000, **other))
        assert read.prompt_tokens == 50_000
        assert max(seen) < 500

    @pytest.mark.parametrize(
        "prompt",
        ["[1.5, {ids}]", "[1e3, {ids}]", "[[1], 2, {ids}]", "[[[{ids}]]]"],
    )
    def test_other_numbers_are_rejected(self, prompt):
        """Numbers that are not integers and wrongly nested lists are rejected."""
        text = prompt.replace("{ids}", str(IDS)[1:-1])
        read = read_completion(f'{{"model": "m", "prompt": {text}}}'.encode())
        places = {problem.finding.place.split("/")[1] for problem in read}
        assert places == {"prompt"}

    @pytest.mark.parametrize("text", ["[01, {ids}]", "[1 2, {ids}]", "[1,, {ids}]"])
    def test_malformed_lists_are_rejected(self, text):
        """The syntax of long number lists is checked although they are not decoded."""
        text = text.replace("{ids}", str(IDS)[1:-1])
        for name in ("prompt", "other"):
            fields = f'"model": "m", "prompt": "p", "{name}": {text}'
            fields = fields.replace('"prompt": "p", "prompt"', '"prompt"')
            read = read_completion(f"{{{fields}}}".encode())
            assert "is not JSON" in read[0].finding.problem

    def test_repeated_name_is_rejected(self):
        """Duplicate names are detected when their values are long number lists."""
        body = f'{{"model": "m", "prompt": {IDS}, "prompt": {IDS}}}'.encode()
        assert "twice" in read_completion(body)[0].finding.problem

    def test_numbers_inside_strings_are_kept(self):
        """A number list inside a string is part of the prompt."""
        message = {"role": "user", "content": f"readings: {IDS}"}
        body = json.dumps({"model": "m", "messages": [message]}).encode()
        read = read_chat(body)
        assert isinstance(read, ModelCall)
        assert str(IDS).encode() in read.prompt

    def test_list_in_place_of_the_body(self):
        """A body that is a list of numbers is rejected."""
        (problem,) = read_completion(str(IDS).encode())
        assert problem.finding.problem == "must be a JSON object"

    def test_numbers_in_another_place(self):
        """A long number list in a field of another type is a finding."""
        read = read_completion(completion(model=IDS, prompt="p"))
        assert [problem.finding.place for problem in read] == ["/model"]

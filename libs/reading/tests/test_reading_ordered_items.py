"""What counts of the answers of lists and watches."""

import pytest

from berylwalk.platform import Changes, EventKind, KeyValue, Listing, WatchEvent
from berylwalk.reading import PrefixState


def put(key, revision):
    """Return the event of a write."""
    return WatchEvent(EventKind.PUT, KeyValue(key, b"", revision))


def delete(key, revision):
    """Return the event of a deletion."""
    return WatchEvent(EventKind.DELETE, KeyValue(key, b"", revision))


def listing(revision, **revisions_by_key):
    """Return a list."""
    items = (
        KeyValue(key.encode(), b"", each) for key, each in revisions_by_key.items()
    )
    return Listing(tuple(items), revision)


@pytest.fixture
def ordered():
    """Return items of which two are known as of revision 10."""
    items = PrefixState()
    items.apply_listing(listing(10, a=4, b=9))
    return items


def revisions(ordered):
    """Return the known revisions by key."""
    return {item.key.decode(): item.mod_revision for item in ordered.items}


class TestOrder:
    """Answers in any order."""

    def test_older_list_changes_nothing(self, ordered):
        """It was answered before what a watch told."""
        ordered.apply_changes(Changes((delete(b"a", 11), put(b"b", 12)), 12))
        assert not ordered.apply_listing(listing(11, b=9))
        assert revisions(ordered) == {"b": 12}

    def test_older_events_are_no_news(self, ordered):
        """A list has told of them; later ones in the same answer are news."""
        ordered.apply_listing(listing(20, b=18))
        news = ordered.apply_changes(
            Changes((put(b"a", 11), delete(b"a", 15), put(b"c", 21)), 21)
        )
        assert [event.key_value.key for event in news] == [b"c"]
        assert (revisions(ordered), ordered.revision) == ({"b": 18, "c": 21}, 21)

    def test_later_page_of_a_list_is_newer_than_its_revision(self, ordered):
        """The watch tells the change again, and one before it."""
        ordered.apply_listing(listing(20, a=4, b=25))
        news = ordered.apply_changes(Changes((put(b"b", 22), put(b"b", 25)), 26))
        assert news == []
        assert revisions(ordered) == {"a": 4, "b": 25}

    def test_removal_and_return(self, ordered):
        """Both are news, each once."""
        events = (delete(b"a", 11), put(b"a", 12))
        assert len(ordered.apply_changes(Changes(events, 12))) == 2
        assert ordered.apply_changes(Changes(events, 12)) == []
        assert revisions(ordered) == {"a": 12, "b": 9}

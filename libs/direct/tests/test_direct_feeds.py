"""A target that said that it leaves went on getting requests from all routers.

A store was silent for six seconds, and three seconds after its return the target said
so. The call that waits for changes of targets had been made before the outage. Its
answer was lost with the store, its bound of 8.9 s ran out while the store was still
away, and the client took the connection that it had closed itself for one that the
store had closed: it sent the call a second time, with the whole bound anew, and told
nobody. That second call was lost as well, so that the routers were deaf for six
seconds in a store that was well. What was left is a look each 3 s at a list that may be
old, while a target that leaves may get requests for 2 s.

    0.064  (no line: the call is made; 17.864 - 2 x 8.9)
    8.964  (no line: it is made again, in the outage)
   11.227  store-regained purpose=watch-configuration away_ms=4101
   14.307  the store acknowledges that the target is draining; no target-listed
   16.421  the first request after the bound reaches it
   16.871  target-gone detail="not listed"
   17.865  store-lost purpose=watch-targets detail="no answer within 8.9 s"
"""

from virtual_feeds import DRAIN_S, play
from virtual_store import ANSWER_S, configuration_value, target_value, until

SILENT_AT_S = 12.0
SILENT_FOR_S = 6.2
LEAVES_AFTER_S = 3.1
"""Time from the return of the store to the word of the target that it leaves."""


class TestOutageBeforeTargetLeaves:
    """The store is silent for some seconds; later a target leaves."""

    def test_no_request_after_the_bound(self):
        """Whenever the last call before the outage was made."""

        def takes_work_too_long(asked_before_s):
            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S - asked_before_s)
                store.put(b"servers/i-2", target_value(port=8407))
                await until(SILENT_AT_S)
                await feeds.store.go_down(SILENT_FOR_S)
                await until(feeds.clock() + LEAVES_AFTER_S)
                assert feeds.takes_work("i-1")
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(feeds.clock() + DRAIN_S)
                return feeds.takes_work("i-1")

            return play(scenario)

        steps = [step / 4 for step in range(32)]
        assert [step for step in steps if takes_work_too_long(step)] == []


class TestLostAnswer:
    """A call whose answer is lost."""

    def test_call_is_sent_once(self):
        """Its bound is that of the whole call, also on a connection used before."""

        def lose_watches(call):
            return None if call.path == "/kv-watch" else ANSWER_S

        async def scenario(feeds):
            store = feeds.store.store
            store.put(b"op/config", configuration_value(1))
            store.put(b"servers/i-1", target_value())
            await until(30.0)
            sent = [call for call in feeds.store.calls if call.path == "/kv-watch"]
            failed = [
                fields["purpose"]
                for _, event, fields in feeds.lines
                if event == "store-call-failed"
            ]
            return len(sent), len(failed)

        sent, failed = play(scenario, fate=lose_watches)
        in_flight = 2
        assert 0 < failed <= sent <= failed + in_flight


class TestLateAnswers:
    """Lists and watches run side by side in the seconds after an outage."""

    def test_older_answer_changes_nothing(self):
        """Whichever comes late, and whenever the entry changes meanwhile."""

        def findings(late_path, changed_after_s):
            def fate(call):
                is_late = call.path == late_path and call.asked_at > SILENT_AT_S
                return 0.5 if is_late else ANSWER_S

            async def scenario(feeds):
                store = feeds.store.store
                store.put(b"op/config", configuration_value(1))
                store.put(b"servers/i-1", target_value())
                await until(SILENT_AT_S)
                await feeds.store.go_down(SILENT_FOR_S, resets=True)
                await until(feeds.clock() + changed_after_s)
                store.put(b"servers/i-1", target_value(slots=7))
                await until(feeds.clock() + 0.3)
                store.put(b"servers/i-1", target_value(state="draining"))
                await until(feeds.clock() + DRAIN_S)
                return backward_steps(feeds.lines)

            return play(scenario, fate=fate)

        found = [
            (path, step / 10)
            for path in ("/kv-range", "/kv-watch")
            for step in range(40)
            if findings(path, step / 10)
        ]
        assert found == []


def backward_steps(lines):
    """Return the log lines that tell of an older revision than one before."""
    newest_by_id = {}
    steps = []
    for line in lines:
        _, event, fields = line
        if event in ("target-listed", "target-gone"):
            newest = newest_by_id.get(fields["target"], 0)
            if fields["revision"] < newest:
                steps.append(line)
            newest_by_id[fields["target"]] = max(newest, fields["revision"])
    return steps

package org.dotterelcourse.policy.resumption;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.dotterelcourse.policy.resumption.KeptPartEvidence.Outcome;
import org.dotterelcourse.policy.resumption.KeptPartEvidence.Reading;
import org.dotterelcourse.policy.resumption.KeptPartEvidence.State;
import org.dotterelcourse.policy.resumption.KeptPartEvidence.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which version kept parts prove. */
class KeptPartEvidenceTest {
    private static Reading reading(String version, State state) {
        return new Reading(version, state);
    }

    private static Verdict conclude(Reading... readings) {
        return KeptPartEvidence.conclude(Optional.empty(), List.of(readings));
    }

    @Test
    void aPartThatOneVersionKeepsProvesIt() {
        assertThat(conclude(reading("1", State.KEEPS), reading("1", State.KEEPS_NOT), reading("2", State.KEEPS_NOT)))
                .isEqualTo(new Verdict(Outcome.PROVEN, "1"));
    }

    // Guards against a worker that has not answered yet being taken for one that keeps nothing.
    @Test
    void aPartProvesNothingWhileAWorkerOfAnotherVersionIsUnread() {
        assertThat(conclude(reading("1", State.KEEPS), reading("2", State.UNREAD))
                        .outcome())
                .isEqualTo(Outcome.INCOMPLETE);
    }

    // Guards against streams that are refused because of a silent worker of their own version.
    @Test
    void anUnreadWorkerOfTheSameVersionChangesNothing() {
        assertThat(conclude(reading("1", State.KEEPS), reading("1", State.UNREAD), reading("2", State.KEEPS_NOT)))
                .isEqualTo(new Verdict(Outcome.PROVEN, "1"));
    }

    @Test
    void aPartThatTwoVersionsKeepProvesNothingWhoeverIsUnread() {
        assertThat(conclude(reading("1", State.KEEPS), reading("2", State.KEEPS), reading("3", State.UNREAD))
                        .outcome())
                .isEqualTo(Outcome.SEVERAL_VERSIONS);
    }

    @Test
    void aPartKeptAtAnUnknownVersionProvesNothing() {
        assertThat(conclude(reading("", State.KEEPS)).outcome()).isEqualTo(Outcome.SEVERAL_VERSIONS);
    }

    @Test
    void aPartThatNoReadWorkerKeepsMayBeKeptByAnUnreadOne() {
        assertThat(conclude(reading("1", State.KEEPS_NOT), reading("1", State.UNREAD))
                        .outcome())
                .isEqualTo(Outcome.INCOMPLETE);
        assertThat(conclude(reading("1", State.KEEPS_NOT), reading("2", State.GONE))
                        .outcome())
                .isEqualTo(Outcome.NOT_KEPT);
    }

    // Guards against a part that another version has kept before, and has evicted since.
    @Test
    void whatWasKeptBeforeCounts() {
        List<Reading> readings = List.of(reading("1", State.KEEPS), reading("2", State.KEEPS_NOT));
        assertThat(KeptPartEvidence.conclude(Optional.of("2"), readings).outcome())
                .isEqualTo(Outcome.SEVERAL_VERSIONS);
        assertThat(KeptPartEvidence.conclude(Optional.of("1"), readings)).isEqualTo(new Verdict(Outcome.PROVEN, "1"));
    }

    // Guards against streams that are all refused because one worker of another version is down.
    @Test
    void aWorkerThatIsGoneIsOutweighedByTwoReadOnes() {
        assertThat(conclude(reading("1", State.KEEPS), reading("1", State.KEEPS_NOT), reading("2", State.GONE)))
                .isEqualTo(new Verdict(Outcome.PROVEN, "1"));
    }

    // Guards against a guess where the workers that are gone may well have begun the stream.
    @Test
    void aPartProvesNothingIfWorkersOfOtherVersionsAreGoneAndFewAreRead() {
        assertThat(conclude(reading("1", State.KEEPS), reading("2", State.GONE)).outcome())
                .isEqualTo(Outcome.WORKERS_GONE);
        assertThat(conclude(
                                reading("1", State.KEEPS),
                                reading("1", State.GONE),
                                reading("2", State.GONE),
                                reading("2", State.KEEPS_NOT))
                        .outcome())
                .isEqualTo(Outcome.WORKERS_GONE);
    }

    @Property
    void whateverTheUnreadWorkersKeepAProofIsNotContradicted(
            @ForAll @Size(max = 6) List<@IntRange(max = 2) Integer> versions,
            @ForAll @Size(6) List<State> states,
            @ForAll @Size(6) List<Boolean> keeps) {
        List<Reading> before = new ArrayList<>();
        List<Reading> after = new ArrayList<>();
        for (int i = 0; i < versions.size(); i++) {
            String version = "v" + versions.get(i);
            State state = states.get(i);
            State answer = keeps.get(i) ? State.KEEPS : State.KEEPS_NOT;
            before.add(reading(version, state));
            after.add(reading(version, state == State.UNREAD ? answer : state));
        }
        Verdict verdict = KeptPartEvidence.conclude(Optional.empty(), before);
        if (verdict.outcome() == Outcome.PROVEN) {
            assertThat(KeptPartEvidence.conclude(Optional.empty(), after)).isEqualTo(verdict);
        }
    }
}

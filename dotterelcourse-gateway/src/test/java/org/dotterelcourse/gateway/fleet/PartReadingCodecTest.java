package org.dotterelcourse.gateway.fleet;

import java.util.List;
import java.util.Set;

import org.dotterelcourse.gateway.fleet.generated.FleetProtos.PartReading;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.policy.resumption.StreamKey;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class PartReadingCodecTest {
    private static final WorkerEntry WORKER =
            new WorkerEntry("i-1", 7, "llm", "127.0.0.1", 80, "dc", 4, false, 0, "v1");
    private static final List<StreamKey> ASKED = List.of(new StreamKey(1), new StreamKey(-2), new StreamKey(3));

    @Test
    void readingsAreDecodedAsTheyWereEncoded() {
        PartReadings.Reading read =
                new PartReadings.Reading(PartReading.State.READ, Set.of(new StreamKey(-2), new StreamKey(3)));
        PartReadings.Reading gone = new PartReadings.Reading(PartReading.State.GONE, Set.of());
        assertThat(decoded(read)).isEqualTo(read);
        assertThat(decoded(gone)).isEqualTo(gone);
        assertThat(PartReadingCodec.encode(WORKER, read, ASKED).getIncarnation())
                .isEqualTo(WORKER.incarnation());
    }

    @Test
    void partsThatWereNotAskedForAreNotTold() {
        PartReadings.Reading read =
                new PartReadings.Reading(PartReading.State.READ, Set.of(new StreamKey(1), new StreamKey(99)));
        assertThat(decoded(read).parts()).containsExactly(new StreamKey(1));
    }

    // Guards against a message of a faulty peer that stops the event loop's work.
    @Test
    void placesOutsideTheQueryAreRejected() {
        PartReading message = PartReading.newBuilder().addKept(3).build();
        assertThatIllegalArgumentException().isThrownBy(() -> PartReadingCodec.decode(message, ASKED));
    }

    // Guards against a state of a later release that is taken for an answer of the worker.
    @Test
    void anUnknownStateCountsAsNotRead() {
        PartReading message = PartReading.newBuilder().setStateValue(9).build();
        assertThat(PartReadingCodec.decode(message, ASKED).state()).isEqualTo(PartReading.State.UNREAD);
    }

    private static PartReadings.Reading decoded(PartReadings.Reading reading) {
        return PartReadingCodec.decode(PartReadingCodec.encode(WORKER, reading, ASKED), ASKED);
    }
}

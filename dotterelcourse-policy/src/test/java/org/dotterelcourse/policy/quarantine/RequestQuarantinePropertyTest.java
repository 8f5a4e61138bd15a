package org.dotterelcourse.policy.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.dotterelcourse.policy.quarantine.CrashNotice.Ending;

import static org.assertj.core.api.Assertions.assertThat;

class RequestQuarantinePropertyTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long NOW_NANOS = 10_000_000 * NANOS_PER_MILLI;
    private static final int PROCESS_COUNT = 8;
    private static final int SEND_COUNT = 40;
    private static final int MAX_CRASHES = 3;
    private static final int MAX_MISSED_REJECTIONS = 3;
    private static final CrashCause REQUEST = CrashCause.ofContent(new Fingerprint(7));

    @Property(tries = 500, seed = "20261203")
    void theVerdictDoesNotDependOnTheOrderOrRepetitionOfNotices(
            @ForAll @Size(max = 8) List<@IntRange(max = 20_000) Integer> ages, @ForAll long seed) {
        List<CrashNotice> notices = new ArrayList<>();
        for (int i = 0; i < ages.size(); i++) {
            Ending ending = Ending.values()[ages.get(i) % Ending.values().length];
            notices.add(new CrashNotice(REQUEST, ending, i + 1, 150, ages.get(i)));
        }
        // A finished run is not recorded while there is no crash, so a crash goes first in both orders.
        notices.add(0, new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, 100, 150, 30_000));
        RequestQuarantine inOrder = quarantineWith(notices);
        List<CrashNotice> shuffled = new ArrayList<>(notices.subList(1, notices.size()));
        shuffled.addAll(shuffled);
        Collections.shuffle(shuffled, new Random(seed));
        shuffled.add(0, notices.get(0));
        assertThat(quarantineWith(shuffled).verdict(REQUEST, NOW_NANOS)).isEqualTo(inOrder.verdict(REQUEST, NOW_NANOS));
    }

    private static RequestQuarantine quarantineWith(List<CrashNotice> notices) {
        RequestQuarantine quarantine = new RequestQuarantine();
        notices.forEach(notice -> quarantine.applyNotice(notice, NOW_NANOS));
        return quarantine;
    }

    @Property(tries = 300, seed = "20261203")
    void aFleetStopsACrashingRequestAfterAFewCrashesAlthoughAThirdOfItsMessagesIsLost(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int intervalMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESS_COUNT, random);
        for (int i = 0; i < SEND_COUNT; i++) {
            fleet.send();
            fleet.exchange(intervalMillis);
        }
        assertThat(fleet.crashes()).isLessThanOrEqualTo(MAX_CRASHES);
    }

    @Property(tries = 300, seed = "20261203")
    void processesThatRestartOneByOneRelearnTheQuarantineFromTheirPeers(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int intervalMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESS_COUNT, random);
        for (int i = 0; i < SEND_COUNT; i++) {
            fleet.send();
            fleet.exchange(intervalMillis);
            if (i % 4 == 0) {
                fleet.restart(random.nextInt(PROCESS_COUNT));
            }
        }
        assertThat(fleet.missedRejections()).isLessThanOrEqualTo(MAX_MISSED_REJECTIONS);
    }

    @Property(tries = 300, seed = "20261203")
    void aFleetThatLosesAllItsRecordsStopsTheRequestAgain(
            @ForAll Random random,
            @ForAll @IntRange(min = 200, max = 2_000) int intervalMillis,
            @ForAll @IntRange(max = SEND_COUNT - 1) int restartAllAfter) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESS_COUNT, random);
        for (int i = 0; i < SEND_COUNT; i++) {
            fleet.send();
            fleet.exchange(intervalMillis);
            if (i == restartAllAfter) {
                fleet.restartAll();
            }
        }
        assertThat(fleet.missedRejections()).isLessThanOrEqualTo(MAX_MISSED_REJECTIONS);
    }

    @Property(tries = 300, seed = "20261203")
    void aProcessWithoutConnectionToItsPeersQuarantinesTheRequestByItself(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int intervalMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESS_COUNT, random);
        fleet.isolate(random.nextInt(PROCESS_COUNT));
        for (int i = 0; i < 4 * SEND_COUNT; i++) {
            fleet.send();
            fleet.exchange(intervalMillis);
        }
        assertThat(fleet.missedRejections()).isLessThanOrEqualTo(MAX_MISSED_REJECTIONS);
    }
}

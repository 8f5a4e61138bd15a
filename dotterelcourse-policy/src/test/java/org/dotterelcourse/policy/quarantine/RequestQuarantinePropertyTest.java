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
    private static final long MILLISECOND = 1_000_000L;
    private static final long NOW = 10_000_000 * MILLISECOND;
    private static final int PROCESSES = 8;
    private static final int SENDS = 40;
    private static final int KNOWN_AFTER_CRASHES = 3;
    private static final int MOST_SENDS_WHEN_KNOWN = 3;
    private static final Fingerprint REQUEST = new Fingerprint(7);

    @Property(tries = 500, seed = "20261203")
    void theOrderInWhichNoticesComeAndRepeatsOfThemMakeNoDifference(
            @ForAll @Size(max = 8) List<@IntRange(max = 20_000) Integer> ages, @ForAll long seed) {
        List<CrashNotice> notices = new ArrayList<>();
        for (int i = 0; i < ages.size(); i++) {
            Ending ending = Ending.values()[ages.get(i) % Ending.values().length];
            notices.add(new CrashNotice(REQUEST, ending, i + 1, 150, ages.get(i)));
        }
        // A finished run of a request that nobody suspects is not kept.
        notices.add(0, new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, 100, 150, 30_000));
        RequestQuarantine one = learned(notices);
        List<CrashNotice> others = new ArrayList<>(notices.subList(1, notices.size()));
        others.addAll(others);
        Collections.shuffle(others, new Random(seed));
        others.add(0, notices.get(0));
        assertThat(learned(others).verdict(REQUEST, NOW)).isEqualTo(one.verdict(REQUEST, NOW));
    }

    private static RequestQuarantine learned(List<CrashNotice> notices) {
        RequestQuarantine quarantine = new RequestQuarantine();
        notices.forEach(notice -> quarantine.applyNotice(notice, NOW));
        return quarantine;
    }

    @Property(tries = 300, seed = "20261203")
    void aFleetStopsACrashingRequestAfterAFewCrashesThoughThirdsOfItsMessagesAreLost(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int gapMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESSES, random);
        for (int i = 0; i < SENDS; i++) {
            fleet.send();
            fleet.exchange(gapMillis);
        }
        assertThat(fleet.crashes()).isLessThanOrEqualTo(KNOWN_AFTER_CRASHES);
    }

    @Property(tries = 300, seed = "20261203")
    void processesThatStartAgainOneAfterTheOtherLearnItFromTheirPeers(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int gapMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESSES, random);
        for (int i = 0; i < SENDS; i++) {
            fleet.send();
            fleet.exchange(gapMillis);
            if (i % 4 == 0) {
                fleet.restart(random.nextInt(PROCESSES));
            }
        }
        assertThat(fleet.sendsWhenKnown()).isLessThanOrEqualTo(MOST_SENDS_WHEN_KNOWN);
    }

    @Property(tries = 300, seed = "20261203")
    void aFleetThatLosesAllItKnewStopsTheRequestAgain(
            @ForAll Random random,
            @ForAll @IntRange(min = 200, max = 2_000) int gapMillis,
            @ForAll @IntRange(max = SENDS - 1) int allLost) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESSES, random);
        for (int i = 0; i < SENDS; i++) {
            fleet.send();
            fleet.exchange(gapMillis);
            if (i == allLost) {
                fleet.restartAll();
            }
        }
        assertThat(fleet.sendsWhenKnown()).isLessThanOrEqualTo(MOST_SENDS_WHEN_KNOWN);
    }

    @Property(tries = 300, seed = "20261203")
    void aProcessThatNoPeerReachesFindsOutByItself(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int gapMillis) {
        SimulatedFleet fleet = new SimulatedFleet(PROCESSES, random);
        fleet.cutOff(random.nextInt(PROCESSES));
        for (int i = 0; i < 4 * SENDS; i++) {
            fleet.send();
            fleet.exchange(gapMillis);
        }
        assertThat(fleet.sendsWhenKnown()).isLessThanOrEqualTo(MOST_SENDS_WHEN_KNOWN);
    }
}

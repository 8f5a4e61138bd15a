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
        notices.forEach(notice -> quarantine.learn(notice, NOW));
        return quarantine;
    }

    @Property(tries = 300, seed = "20261203")
    void aFleetStopsACrashingRequestAfterAFewCrashesThoughThirdsOfItsMessagesAreLost(
            @ForAll Random random, @ForAll @IntRange(min = 200, max = 2_000) int gapMillis) {
        List<RequestQuarantine> fleet = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            fleet.add(new RequestQuarantine());
        }
        int crashes = 0;
        long now = NOW;
        for (int sends = 0; sends < 40; sends++) {
            RequestQuarantine process = fleet.get(random.nextInt(PROCESSES));
            if (!(process.verdict(REQUEST, now) instanceof Verdict.Held)) {
                crashes++;
                process.learn(new CrashNotice(REQUEST, Ending.CRASHED_BEFORE_OUTPUT, crashes, gapMillis / 10, 0), now);
            }
            now = exchange(fleet, random, now, gapMillis);
        }
        assertThat(crashes).isLessThanOrEqualTo(3);
    }

    /** Each process tells all others every 50 ms; a third of the messages get lost. */
    private static long exchange(List<RequestQuarantine> fleet, Random random, long fromNanos, int millis) {
        long now = fromNanos;
        for (int passed = 0; passed < millis; passed += 50) {
            now += 50 * MILLISECOND;
            for (RequestQuarantine sender : fleet) {
                List<CrashNotice> notices = sender.takeNotices(now);
                for (RequestQuarantine receiver : fleet) {
                    if (receiver != sender && random.nextInt(3) > 0) {
                        for (CrashNotice notice : notices) {
                            receiver.learn(notice, now);
                        }
                    }
                }
            }
        }
        return now;
    }
}

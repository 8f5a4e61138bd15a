package org.dotterelcourse.gateway.published;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreDutyTest {
    private static final long MILLISECOND = 1_000_000L;

    private final StoreDuty duty = new StoreDuty();

    @Test
    void aProcessThatHearsOfNobodyFollowsTheStore() {
        assertThat(duty.mustFollow(0)).isTrue();
    }

    @Test
    void aProcessWhoseTaskItIsFollowsTheStoreWhateverItHears() {
        duty.task(true);
        duty.followerOnTaskHeard(0);
        assertThat(duty.mustFollow(0)).isTrue();
    }

    // The process that follows for a data centre is killed just before a key is taken away. The others must read the
    // store in time, or the key goes on being served.
    @Test
    void aProcessRestsOnlyWhileItHearsThatAnotherFollows() {
        duty.followerHeard(0);
        assertThat(duty.mustFollow(1_500 * MILLISECOND)).isFalse();
        assertThat(duty.mustFollow(1_600 * MILLISECOND)).isTrue();
    }

    // Changes get lost on a connection between two processes that has gone silent, while reports still come.
    @Test
    void aProcessThatStaysBehindFollowsByItself() {
        duty.followerHeard(0);
        duty.behind(true, 0);
        assertThat(duty.mustFollow(300 * MILLISECOND)).isFalse();
        duty.behind(true, 300 * MILLISECOND);
        assertThat(duty.mustFollow(500 * MILLISECOND)).isTrue();
        duty.behind(false, 500 * MILLISECOND);
        assertThat(duty.mustFollow(500 * MILLISECOND)).isFalse();
    }

    // The store turns away all processes whose task it is to follow. Two others have taken over; if each stopped
    // because
    // of the other, nobody would follow.
    @Test
    void oneThatFollowsStopsOnlyForOneWhoseTaskItIs() {
        duty.answered(0);
        duty.followerHeard(0);
        assertThat(duty.mustFollow(0)).isTrue();
        duty.followerOnTaskHeard(0);
        assertThat(duty.mustFollow(0)).isFalse();
    }

    @Test
    void theAgeOfWhatWasHeardIsToldOn() {
        assertThat(duty.followerMillis(0)).isEqualTo(-1);
        duty.followerHeard(0);
        assertThat(duty.followerMillis(700 * MILLISECOND)).isEqualTo(700);
        assertThat(duty.followerMillis(1_600 * MILLISECOND)).isEqualTo(-1);
        assertThat(duty.followerOnTaskMillis(0)).isEqualTo(-1);
    }

    // The process that follows is cut off from the store, and its waiting call hangs. What it tells the others must get
    // old meanwhile, or they rely on it until the call's timeout.
    @Test
    void aFollowersWordIsAsOldAsItsLastAnswer() {
        duty.task(true);
        duty.answered(0);
        assertThat(duty.followerMillis(900 * MILLISECOND)).isEqualTo(900);
        assertThat(duty.followerOnTaskMillis(900 * MILLISECOND)).isEqualTo(900);
        assertThat(duty.followerMillis(1_600 * MILLISECOND)).isEqualTo(-1);
        duty.unanswered();
        assertThat(duty.followerMillis(900 * MILLISECOND)).isEqualTo(-1);
    }

    @Test
    void manyProcessesTakeTurnsAtAStoreThatIsAway() {
        assertThat(StoreDuty.pauseMillis(500, 8)).isEqualTo(500);
        assertThat(StoreDuty.pauseMillis(500, 80)).isEqualTo(5_000);
    }
}

package org.dotterelcourse.it;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.dotterelcourse.standins.ClassResult;
import org.dotterelcourse.standins.Fault;
import org.dotterelcourse.standins.LoadResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons that stop, die, pause or are replaced under load, judged by what callers receive and what upstreams ran. */
final class DaemonLifecycleTest {
    private static final String[] ALL = {
        Documents.QUESTION, Documents.SUMMARY, Documents.SIGNED, Documents.CHECK, Documents.PAYOUT
    };

    private Fleet fleet;

    @BeforeEach
    void start() {
        fleet = new Fleet(4, 2).daemons(3);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    // The platform takes a VM away in good order while streams run through it and callers still hold its address. No
    // caller may notice.
    @Test
    void aDaemonThatIsToldToStopCutsOffNoStream() {
        CompletableFuture<LoadResult> load = fleet.load(50, 6, 100, 300);
        fleet.awaitRunning(8);
        DaemonProcess leaving = fleet.daemons().get(0);
        leaving.signal("TERM");
        Await.until("the daemon ends", () -> !leaving.alive());
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        UpstreamFaultsTest.assertAllAnswered(result, ALL);
    }

    // All VMs are replaced one after the other, as in an upgrade. No caller may notice.
    @Test
    void everyDaemonIsReplacedUnderLoadAndNoCallerNotices() {
        CompletableFuture<LoadResult> load = fleet.load(30, 30, 50, 200);
        for (DaemonProcess old : fleet.daemons()) {
            fleet.add();
            fleet.awaitServing();
            old.signal("TERM");
            Await.until(old.name() + " ends", () -> !old.alive());
            fleet.remove(old);
        }
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        UpstreamFaultsTest.assertAllAnswered(result, ALL);
    }

    // A VM is lost at once. Callers connected to it see their connection break, which tells them that their answer is
    // not whole; no other caller's answer is touched, and nothing runs twice that must not.
    @Test
    void theDeathOfADaemonTouchesOnlyItsOwnCallers() {
        CompletableFuture<LoadResult> load = fleet.load(50, 8, 50, 200);
        fleet.awaitRunning(8);
        DaemonProcess lost = fleet.daemons().get(1);
        lost.signal("KILL");
        Await.until("the process is gone", () -> !lost.alive());
        fleet.remove(lost);
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertMostAnswered(result);
        for (DaemonProcess each : fleet.daemons()) {
            Await.until(each.name() + " notices", () -> each.aliveMembers() == 2);
        }
    }

    // A process is paused by its host for some seconds and wakes up with what it believed before: grants it held, and
    // requests it had taken. What it sends late must not make anything run twice or mix answers.
    @Test
    void aPausedDaemonThatWakesUpRunsNothingTwiceAndMixesNothing() {
        List<DaemonProcess> daemons = fleet.daemons();
        CompletableFuture<LoadResult> load = fleet.load(50, 10, 50, 200);
        fleet.awaitRunning(8);
        DaemonProcess paused = daemons.get(2);
        paused.signal("STOP");
        try {
            for (DaemonProcess each : daemons.subList(0, 2)) {
                Await.until(each.name() + " notices", () -> each.aliveMembers() == 2);
            }
        } finally {
            paused.signal("CONT");
        }
        for (DaemonProcess each : daemons) {
            Await.until(each.name() + " sees all again", () -> each.aliveMembers() == 3);
        }
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertMostAnswered(result);
    }

    // A burst arrives while one VM is lost, another one pauses and an engine crashes. Much may be refused or left open,
    // but no answer may be mixed or end early, no payout may run twice, and "not run" must be true.
    @Test
    void severalFailuresAtOnceInABurstRunNothingTwiceAndMixNothing() {
        List<DaemonProcess> daemons = fleet.daemons();
        CompletableFuture<LoadResult> load = fleet.load(150, 6, 50, 200);
        fleet.awaitRunning(20);
        daemons.get(0).signal("KILL");
        daemons.get(1).signal("STOP");
        try {
            fleet.engine(1).fault(Fault.of(Fault.Kind.CRASH));
            fleet.remove(daemons.get(0));
            Await.until("the survivor notices", () -> daemons.get(2).aliveMembers() == 1);
        } finally {
            daemons.get(1).signal("CONT");
        }
        LoadResult result = load.join();
        assertThat(result.clean()).as(result.table()).isTrue();
        assertMostAnswered(result);
    }

    private static void assertMostAnswered(LoadResult result) {
        long sent = result.classes().stream().mapToLong(ClassResult::sent).sum();
        long answered =
                result.classes().stream().mapToLong(ClassResult::answered).sum();
        assertThat(answered).as(result.table()).isGreaterThan(sent / 2);
    }
}

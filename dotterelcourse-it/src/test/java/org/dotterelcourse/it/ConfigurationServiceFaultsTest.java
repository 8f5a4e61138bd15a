package org.dotterelcourse.it;

import org.dotterelcourse.standins.ConfigurationServiceStandIn.Kind;
import org.dotterelcourse.standins.Fault;
import org.dotterelcourse.standins.LoadResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons while the configuration service is down or stale. */
final class ConfigurationServiceFaultsTest {
    private Fleet fleet;

    @BeforeEach
    void start() {
        fleet = new Fleet(2, 1);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    // A whole fleet starts while the configuration service is down. It must refuse callers and say that nothing was
    // run, and serve as soon as the service is back.
    @Test
    void aFleetThatStartsWithoutTheServiceRefusesUntilItIsBack() {
        fleet.configuration().fault(Fault.of(Fault.Kind.CRASH));
        DaemonProcess daemon = fleet.add();
        assertThat(daemon.operators("/ready").statusCode()).isEqualTo(503);
        LoadResult refused = fleet.load(20, 0.5, 5, 5).join();
        refused.classes()
                .forEach(each -> assertThat(each.notRun()).as(refused.table()).isEqualTo(each.sent()));
        fleet.configuration().fault(Fault.of(Fault.Kind.RECOVER));
        fleet.awaitServing();
        LoadResult served = fleet.load(20, 0.5, 5, 5).join();
        UpstreamFaultsTest.assertAllAnswered(served, Documents.QUESTION, Documents.CHECK);
    }

    // The service goes down after a patch, and a new VM starts. It must get the patched configuration from the others.
    @Test
    void aNewDaemonGetsTheNewestConfigurationFromTheOthersWhileTheServiceIsDown() {
        fleet.daemons(2);
        fleet.configuration().publish(Kind.PATCH, Documents.patch(1, 700));
        awaitNumber(2);
        fleet.configuration().fault(Fault.of(Fault.Kind.CRASH));
        fleet.add();
        fleet.awaitServing();
        awaitNumber(2);
    }

    // The service comes back from an old copy. No daemon, not even a new one, may go back to the older configuration.
    @Test
    void aStaleServiceTakesNoDaemonBackToAnOlderConfiguration() {
        fleet.daemons(2);
        fleet.configuration().publish(Kind.PATCH, Documents.patch(1, 700));
        awaitNumber(2);
        fleet.configuration().fault(Fault.of(Fault.Kind.CRASH));
        fleet.configuration().stale(1);
        fleet.configuration().fault(Fault.of(Fault.Kind.RECOVER));
        long calls = fleet.configuration().calls();
        fleet.add();
        fleet.awaitServing();
        Await.until(
                "daemons read the stale service", () -> fleet.configuration().calls() > calls + 2);
        awaitNumber(2);
        fleet.configuration().stale(Long.MAX_VALUE);
        fleet.configuration().publish(Kind.PATCH, Documents.patch(2, 800));
        awaitNumber(3);
    }

    private void awaitNumber(long number) {
        for (DaemonProcess each : fleet.daemons()) {
            Await.until(each.name() + " has " + number, () -> each.configuration() == number);
        }
    }
}

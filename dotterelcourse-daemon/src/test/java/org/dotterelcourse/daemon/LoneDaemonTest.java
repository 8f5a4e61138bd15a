package org.dotterelcourse.daemon;

import org.dotterelcourse.standins.ConfigurationServiceStandIn;
import org.junit.jupiter.api.Test;

class LoneDaemonTest {
    @Test
    void watchesTheServiceThoughItHearsOfNoOtherDaemon() {
        // A fleet of one never hears of a member joining. If only such news told it that it is a reader, it would look
        // at the service now and then, and an operator would see each change in force half a minute late; three in a
        // row
        // don't fit the bound then.
        try (FleetFixture fleet = new FleetFixture(1)) {
            int port = fleet.daemons.get(0).operatorsPort();
            int[] number = {1};
            fleet.configuration.publish(ConfigurationServiceStandIn.Kind.PATCH, patch(number[0]));
            FleetFixture.await(() -> {
                if (fleet.get(port, "/configuration").contains("\"number\":" + (number[0] + 1) + ",")) {
                    number[0]++;
                    fleet.configuration.publish(ConfigurationServiceStandIn.Kind.PATCH, patch(number[0]));
                }
                return number[0] == 4;
            });
        }
    }

    private static String patch(int base) {
        return "[patch]\nbase = " + base + "\nauthor = test\nreason = test\n[set class question]\nmax-waiting = "
                + (200 + base) + "\n";
    }
}

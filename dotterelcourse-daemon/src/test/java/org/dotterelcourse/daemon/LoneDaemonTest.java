package org.dotterelcourse.daemon;

import org.dotterelcourse.standins.ConfigurationServiceStandIn;
import org.junit.jupiter.api.Test;

class LoneDaemonTest {
    @Test
    void watchesTheConfigurationServiceWithoutPeers() {
        // Guards against a single daemon that only polls the configuration service. It gets no membership event, and
        // if only these events made it a watching reader, each change would come into force half a minute late. Three
        // successive changes would then exceed the time limit.
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

package org.dotterelcourse.gateway.fleet;

import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.published.Publications;
import org.dotterelcourse.gateway.published.StoreFollowerElection;
import org.dotterelcourse.gateway.workers.PeerLoads;
import org.dotterelcourse.policy.selection.LatencyClassWork;

/** Records the work of engines and the followers of the store from the reports of peers. */
final class ReportedStatistics {
    /**
     * Sender name under which the work reported by this process's collector is recorded, so that the sums of a new
     * collector replace those of its predecessor.
     */
    private static final String ANY_COLLECTOR = "";

    private final GatewayState state;
    private final Publications publications;

    ReportedStatistics(GatewayState state, Publications publications) {
        this.state = state;
        this.publications = publications;
    }

    void recordWork(String peer, PeerLoads.Scope scope, FleetProtos.LoadReport report, long nowNanos) {
        for (FleetProtos.UpstreamWork work : report.getUpstreamsList()) {
            double[] millis = work.getMillisByPaceList().stream()
                    .mapToDouble(Long::doubleValue)
                    .toArray();
            if (millis.length == LatencyClassWork.none().millis().length) {
                boolean ownOnly = scope == PeerLoads.Scope.OWN;
                String sender = scope == PeerLoads.Scope.OTHERS ? ANY_COLLECTOR : peer;
                state.enginePartition(work.getUpstream())
                        .recordPeerWork(sender, ownOnly, new LatencyClassWork(millis), nowNanos);
            }
        }
    }

    void recordFollowers(FleetProtos.LoadReport report, long nowNanos) {
        int count = Math.min(
                report.getFollowersCount(),
                Math.min(report.getFollowerAnswersCount(), report.getFollowerMillisCount()));
        for (int i = 0; i < count; i++) {
            StoreFollowerElection.Follower follower = new StoreFollowerElection.Follower(
                    report.getFollowers(i), report.getFollowerAnswers(i), report.getFollowerMillis(i));
            publications.followerElection().recordFollower(follower, nowNanos);
        }
    }
}

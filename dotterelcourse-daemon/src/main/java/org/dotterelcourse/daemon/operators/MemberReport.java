package org.dotterelcourse.daemon.operators;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.coordination.membership.Member;

/**
 * A cluster member as seen by this daemon, written as JSON for operators.
 *
 * @param name the member's name
 * @param incarnation the member's incarnation number
 * @param state the membership state: {@code ALIVE}, {@code LEAVING}, {@code SUSPECT} or {@code DEAD}
 * @param sinceSeconds the time in seconds since this daemon recorded the state
 * @param address the address for other daemons, as {@code IP:port}
 * @param callersAddress the address for clients, as the member announces it
 * @param dataCentre the member's data centre
 * @param region the member's region
 * @param configurationNumber the number of the configuration that the member has in force
 */
record MemberReport(
        String name,
        long incarnation,
        String state,
        long sinceSeconds,
        String address,
        String callersAddress,
        String dataCentre,
        String region,
        long configurationNumber) {
    static List<MemberReport> of(List<Member> members, long nowNanos) {
        return members.stream().map(member -> of(member, nowNanos)).toList();
    }

    private static MemberReport of(Member member, long nowNanos) {
        return new MemberReport(
                member.name(),
                member.id().incarnation(),
                member.state().name(),
                TimeUnit.NANOSECONDS.toSeconds(nowNanos - member.sinceNanos()),
                member.address().getAddress().getHostAddress() + ":"
                        + member.address().getPort(),
                member.payload().clientAddress(),
                member.payload().dataCentre(),
                member.payload().region(),
                member.payload().configurationNumber());
    }
}

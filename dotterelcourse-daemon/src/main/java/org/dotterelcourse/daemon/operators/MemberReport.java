package org.dotterelcourse.daemon.operators;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.dotterelcourse.coordination.membership.Member;

/**
 * A daemon, as this one sees it, for operators.
 *
 * @param name its name
 * @param incarnation which life of it
 * @param state {@code ALIVE}, {@code LEAVING}, {@code SUSPECT} or {@code DEAD}
 * @param sinceSeconds how long this daemon has seen it in this state
 * @param address its peers' side
 * @param callersAddress its callers' side
 * @param dataCentre its data centre
 * @param region its region
 * @param configurationNumber the number that it has in force
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

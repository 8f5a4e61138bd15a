package org.dotterelcourse.coordination.grant;

import java.util.ArrayList;
import java.util.List;

import org.dotterelcourse.coordination.grant.generated.GrantProtos;
import org.dotterelcourse.coordination.grant.generated.GrantProtos.GrantPacket;

/** Encodes and decodes the messages of clients for {@link GrantCodec}. */
final class GrantRequests {
    private GrantRequests() {}

    static void write(GrantMessage.Request request, GrantPacket.Builder packet) {
        if (request instanceof GrantMessage.Ask ask) {
            packet.setAsk(write(ask));
        } else if (request instanceof GrantMessage.Withdraw withdraw) {
            packet.getWithdrawBuilder().setAsk(withdraw.ask());
        } else if (request instanceof GrantMessage.Renew renew) {
            for (GrantMessage.Held held : renew.held()) {
                packet.getRenewBuilder().addHeld(write(held));
            }
            packet.getRenewBuilder().addAllWaiting(renew.waiting());
        } else if (request instanceof GrantMessage.Release release) {
            packet.getReleaseBuilder()
                    .setAsk(release.ask())
                    .setGrant(GrantCodec.write(release.grant()))
                    .setObservation(GrantCodec.bytes(release.observation()));
        } else if (request instanceof GrantMessage.Reregister reregister) {
            write(reregister, packet.getReregisterBuilder());
        }
    }

    static GrantMessage.Request read(GrantPacket packet) {
        return switch (packet.getBodyCase()) {
            case ASK -> read(packet.getAsk());
            case WITHDRAW -> new GrantMessage.Withdraw(packet.getWithdraw().getAsk());
            case RENEW -> read(packet.getRenew());
            case RELEASE -> read(packet.getRelease());
            default -> read(packet.getReregister());
        };
    }

    private static GrantProtos.Ask write(GrantMessage.Ask ask) {
        return GrantProtos.Ask.newBuilder()
                .setAsk(ask.ask())
                .setAgeNanos(ask.ageNanos())
                .setTerms(GrantCodec.bytes(ask.terms()))
                .build();
    }

    private static GrantProtos.Held write(GrantMessage.Held held) {
        return GrantProtos.Held.newBuilder()
                .setAsk(held.ask())
                .setGrant(GrantCodec.write(held.grant()))
                .setUnits(held.units())
                .build();
    }

    private static void write(GrantMessage.Reregister reregister, GrantProtos.Reregister.Builder builder) {
        builder.setRegistration(reregister.registration());
        builder.setPart(reregister.part()).setParts(reregister.parts());
        for (GrantMessage.Outstanding grant : reregister.grants()) {
            builder.addGrantsBuilder()
                    .setHeld(write(grant.held()))
                    .setWorker(grant.worker())
                    .setAgeNanos(grant.ageNanos())
                    .setTerms(GrantCodec.bytes(grant.terms()));
        }
        for (GrantMessage.Ask ask : reregister.asks()) {
            builder.addAsks(write(ask));
        }
    }

    private static GrantMessage.Ask read(GrantProtos.Ask ask) {
        return new GrantMessage.Ask(
                ask.getAsk(), ask.getAgeNanos(), ask.getTerms().toByteArray());
    }

    private static GrantMessage.Held read(GrantProtos.Held held) {
        return new GrantMessage.Held(held.getAsk(), GrantCodec.read(held.getGrant()), held.getUnits());
    }

    private static GrantMessage.Renew read(GrantProtos.Renew renew) {
        List<GrantMessage.Held> held = new ArrayList<>(renew.getHeldCount());
        for (GrantProtos.Held each : renew.getHeldList()) {
            held.add(read(each));
        }
        return new GrantMessage.Renew(held, List.copyOf(renew.getWaitingList()));
    }

    private static GrantMessage.Release read(GrantProtos.Release release) {
        return new GrantMessage.Release(
                release.getAsk(),
                GrantCodec.read(release.getGrant()),
                release.getObservation().toByteArray());
    }

    private static GrantMessage.Reregister read(GrantProtos.Reregister reregister) {
        List<GrantMessage.Outstanding> grants = new ArrayList<>(reregister.getGrantsCount());
        for (GrantProtos.Outstanding each : reregister.getGrantsList()) {
            grants.add(new GrantMessage.Outstanding(
                    read(each.getHeld()),
                    each.getWorker(),
                    each.getAgeNanos(),
                    each.getTerms().toByteArray()));
        }
        List<GrantMessage.Ask> asks = new ArrayList<>(reregister.getAsksCount());
        for (GrantProtos.Ask each : reregister.getAsksList()) {
            asks.add(read(each));
        }
        return new GrantMessage.Reregister(
                reregister.getRegistration(), reregister.getPart(), reregister.getParts(), grants, asks);
    }
}

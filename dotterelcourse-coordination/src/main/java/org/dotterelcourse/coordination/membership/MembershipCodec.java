package org.dotterelcourse.coordination.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.MemberId;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ack;
import org.dotterelcourse.coordination.membership.MembershipMessage.Body;
import org.dotterelcourse.coordination.membership.MembershipMessage.Gossip;
import org.dotterelcourse.coordination.membership.MembershipMessage.Ping;
import org.dotterelcourse.coordination.membership.MembershipMessage.PingRequest;
import org.dotterelcourse.coordination.membership.MembershipMessage.Sync;
import org.dotterelcourse.coordination.membership.MembershipMessage.Table;
import org.dotterelcourse.coordination.membership.generated.AckProto;
import org.dotterelcourse.coordination.membership.generated.GossipProto;
import org.dotterelcourse.coordination.membership.generated.MembershipProto;
import org.dotterelcourse.coordination.membership.generated.PayloadProto;
import org.dotterelcourse.coordination.membership.generated.PingProto;
import org.dotterelcourse.coordination.membership.generated.PingRequestProto;
import org.dotterelcourse.coordination.membership.generated.StateProto;
import org.dotterelcourse.coordination.membership.generated.SyncProto;
import org.dotterelcourse.coordination.membership.generated.TableProto;
import org.dotterelcourse.coordination.membership.generated.UpdateProto;

/** Encodes and decodes membership messages as protobuf. */
public final class MembershipCodec {

    private static final int MAX_PORT = 65_535;

    private MembershipCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     */
    public static byte[] encode(MembershipMessage message) {
        MembershipProto.Builder proto = MembershipProto.newBuilder().setSelf(encode(message.self()));
        for (Update update : message.updates()) {
            proto.addUpdates(encode(update));
        }
        encode(message.body(), proto);
        return proto.build().toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @param bytes the encoded message
     * @return the message, or empty if the bytes are not a valid message
     */
    public static Optional<MembershipMessage> decode(byte[] bytes) {
        try {
            MembershipProto proto = MembershipProto.parseFrom(bytes);
            Body body = decodeBody(proto);
            List<Update> updates = new ArrayList<>(proto.getUpdatesCount());
            for (UpdateProto update : proto.getUpdatesList()) {
                updates.add(decode(update));
            }
            return Optional.of(new MembershipMessage(body, decode(proto.getSelf()), updates));
        } catch (InvalidProtocolBufferException | UnknownHostException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static void encode(Body body, MembershipProto.Builder proto) {
        if (body instanceof Ping ping) {
            proto.setPing(PingProto.newBuilder().setSequence(ping.sequence()).setTarget(ping.target()));
        } else if (body instanceof Ack ack) {
            proto.setAck(AckProto.newBuilder().setSequence(ack.sequence()).setNotMe(ack.wrongTarget()));
        } else if (body instanceof PingRequest request) {
            proto.setPingRequest(PingRequestProto.newBuilder()
                    .setSequence(request.sequence())
                    .setTarget(request.target())
                    .setAddress(encode(request.address()))
                    .setPort(request.address().getPort()));
        } else if (body instanceof Sync sync) {
            proto.setSync(SyncProto.newBuilder().setDigest(sync.digest()));
        } else if (body instanceof Table table) {
            proto.setTable(TableProto.newBuilder().setReplyWanted(table.replyWanted()));
        } else {
            proto.setGossip(GossipProto.getDefaultInstance());
        }
    }

    private static Body decodeBody(MembershipProto proto) throws UnknownHostException {
        return switch (proto.getKindCase()) {
            case PING -> new Ping(proto.getPing().getSequence(), proto.getPing().getTarget());
            case ACK -> new Ack(proto.getAck().getSequence(), proto.getAck().getNotMe());
            case PING_REQUEST -> decode(proto.getPingRequest());
            case SYNC -> new Sync(proto.getSync().getDigest());
            case TABLE -> new Table(proto.getTable().getReplyWanted());
            case GOSSIP, KIND_NOT_SET -> new Gossip();
        };
    }

    private static PingRequest decode(PingRequestProto proto) throws UnknownHostException {
        return new PingRequest(proto.getSequence(), proto.getTarget(), decode(proto.getAddress(), proto.getPort()));
    }

    private static UpdateProto encode(Update update) {
        Payload payload = update.payload();
        return UpdateProto.newBuilder()
                .setName(update.id().name())
                .setIncarnation(update.id().incarnation())
                .setAddress(encode(update.address()))
                .setPort(update.address().getPort())
                .setStateValue(update.state().ordinal())
                .setPayloadVersion(update.payloadVersion())
                .setPayload(PayloadProto.newBuilder()
                        .setCallersAddress(payload.clientAddress())
                        .setDataCentre(payload.dataCentre())
                        .setRegion(payload.region())
                        .setConfigurationNumber(payload.configurationNumber())
                        .setConfigurationDigest(payload.configurationDigest())
                        .setLoadPermille(payload.loadPermille())
                        .setCapacityMillicores(payload.capacityMillicores())
                        .setRelayPort(payload.relayPort())
                        .setCutOff(payload.cutOff()))
                .build();
    }

    private static Update decode(UpdateProto proto) throws UnknownHostException {
        if (proto.getName().isEmpty() || proto.getState() == StateProto.UNRECOGNIZED) {
            throw new IllegalArgumentException("update has no name or an unknown state");
        }
        PayloadProto payload = proto.getPayload();
        return new Update(
                new MemberId(proto.getName(), proto.getIncarnation()),
                decode(proto.getAddress(), proto.getPort()),
                MemberState.values()[proto.getStateValue()],
                new Payload(
                        payload.getCallersAddress(),
                        payload.getDataCentre(),
                        payload.getRegion(),
                        payload.getConfigurationNumber(),
                        payload.getConfigurationDigest(),
                        payload.getLoadPermille(),
                        payload.getCapacityMillicores(),
                        payload.getRelayPort(),
                        payload.getCutOff()),
                proto.getPayloadVersion());
    }

    private static ByteString encode(InetSocketAddress address) {
        return ByteString.copyFrom(address.getAddress().getAddress());
    }

    private static InetSocketAddress decode(ByteString address, int port) throws UnknownHostException {
        if (port <= 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("invalid port " + port);
        }
        return new InetSocketAddress(InetAddress.getByAddress(address.toByteArray()), port);
    }
}

package org.dotterelcourse.coordination.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.coordination.configuration.generated.ConfigurationProto;
import org.dotterelcourse.coordination.configuration.generated.EntriesProto;
import org.dotterelcourse.coordination.configuration.generated.EntryProto;
import org.dotterelcourse.coordination.configuration.generated.HeadProto;
import org.dotterelcourse.coordination.configuration.generated.PullProto;
import org.dotterelcourse.coordination.configuration.generated.SnapshotProto;

/** Encodes and decodes the messages between relays as protobuf. */
public final class ConfigurationCodec {

    private ConfigurationCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message to send
     * @return the serialized {@code ConfigurationProto}
     */
    public static byte[] encode(ConfigurationMessage message) {
        ConfigurationProto.Builder proto = ConfigurationProto.newBuilder();
        if (message instanceof ConfigurationMessage.Head head) {
            proto.setHead(HeadProto.newBuilder().setPosition(head.position()).setDigest(head.digest()));
        } else if (message instanceof ConfigurationMessage.Pull pull) {
            proto.setPull(PullProto.newBuilder().setAfter(pull.after()));
        } else if (message instanceof ConfigurationMessage.Entries entries) {
            proto.setEntries(encodeEntries(entries.entries()));
        } else if (message instanceof ConfigurationMessage.Snapshot snapshot) {
            proto.setSnapshot(SnapshotProto.newBuilder()
                    .setPosition(snapshot.position())
                    .setNumber(snapshot.number())
                    .setContent(ByteString.copyFrom(snapshot.bytes())));
        }
        return proto.build().toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @param bytes a serialized {@code ConfigurationProto}, as received from a peer
     * @return the message, or empty if the bytes are malformed or of an unknown kind
     */
    public static Optional<ConfigurationMessage> decode(byte[] bytes) {
        try {
            return decode(ConfigurationProto.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static Optional<ConfigurationMessage> decode(ConfigurationProto proto) {
        return switch (proto.getKindCase()) {
            case HEAD ->
                Optional.of(new ConfigurationMessage.Head(
                        proto.getHead().getPosition(), proto.getHead().getDigest()));
            case PULL ->
                Optional.of(new ConfigurationMessage.Pull(proto.getPull().getAfter()));
            case ENTRIES -> Optional.of(decode(proto.getEntries()));
            case SNAPSHOT ->
                Optional.of(new ConfigurationMessage.Snapshot(
                        proto.getSnapshot().getPosition(),
                        proto.getSnapshot().getNumber(),
                        proto.getSnapshot().getContent().toByteArray()));
            case KIND_NOT_SET -> Optional.empty();
        };
    }

    private static EntriesProto encodeEntries(List<Entry> entries) {
        EntriesProto.Builder proto = EntriesProto.newBuilder();
        for (Entry entry : entries) {
            proto.addEntries(EntryProto.newBuilder()
                    .setNumber(entry.number())
                    .setWhole(entry.whole())
                    .setBody(ByteString.copyFrom(entry.body())));
        }
        return proto.build();
    }

    private static ConfigurationMessage decode(EntriesProto proto) {
        List<Entry> entries = new ArrayList<>(proto.getEntriesCount());
        for (EntryProto entry : proto.getEntriesList()) {
            entries.add(new Entry(
                    entry.getNumber(), entry.getWhole(), entry.getBody().toByteArray()));
        }
        return new ConfigurationMessage.Entries(entries);
    }
}

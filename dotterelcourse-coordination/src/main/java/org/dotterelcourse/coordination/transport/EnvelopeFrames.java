package org.dotterelcourse.coordination.transport;

import java.util.List;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.TooLongFrameException;
import org.dotterelcourse.coordination.transport.generated.Envelope;

/** Codec for envelopes on a byte stream in protobuf's delimited format: a varint length before each envelope. */
final class EnvelopeFrames extends ByteToMessageCodec<Envelope> {

    /** Upper bound for the encoded sender, channel and field tags of an envelope. */
    static final int ENVELOPE_OVERHEAD_BYTES = 1_024;

    private static final int MAX_VARINT_BYTES = 5;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;

    private final int maxFrameBytes;

    EnvelopeFrames(int maxBodyBytes) {
        maxFrameBytes = maxBodyBytes + ENVELOPE_OVERHEAD_BYTES;
    }

    static int frameBytes(Envelope envelope) {
        int size = envelope.getSerializedSize();
        return CodedOutputStream.computeUInt32SizeNoTag(size) + size;
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope envelope, ByteBuf out) throws Exception {
        out.ensureWritable(frameBytes(envelope));
        try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
            envelope.writeDelimitedTo(stream);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        in.markReaderIndex();
        int length = readLength(in);
        if (length < 0 || in.readableBytes() < length) {
            in.resetReaderIndex();
            return;
        }
        try (ByteBufInputStream stream = new ByteBufInputStream(in, length)) {
            out.add(Envelope.parseFrom(stream));
        }
    }

    /** Reads the length of the next frame; returns -1 if it has not arrived completely. */
    private int readLength(ByteBuf in) {
        int length = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte next = in.readByte();
            length |= (next & VARINT_MASK) << (VARINT_BITS * i);
            if (next >= 0) {
                return requireAllowedLength(length);
            }
        }
        throw new CorruptedFrameException("frame length encoded in more than " + MAX_VARINT_BYTES + " bytes");
    }

    /**
     * Rejects lengths outside the limit, so that the connection is closed. Without this, a corrupt or hostile length
     * would make the process buffer an unbounded amount of data.
     */
    private int requireAllowedLength(int length) {
        if (length < 0 || length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes exceeds the limit of " + maxFrameBytes);
        }
        return length;
    }
}

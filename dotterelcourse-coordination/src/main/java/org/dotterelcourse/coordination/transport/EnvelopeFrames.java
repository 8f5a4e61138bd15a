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

/** Envelopes on a byte stream, each behind its length as a varint, as protobuf's own delimited form has it. */
final class EnvelopeFrames extends ByteToMessageCodec<Envelope> {

    /** Room for the sender, the channel and the field tags around a body. */
    static final int ENVELOPE_ROOM = 1_024;

    private static final int MAX_VARINT_BYTES = 5;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;

    private final int maxFrameBytes;

    EnvelopeFrames(int maxBodyBytes) {
        maxFrameBytes = maxBodyBytes + ENVELOPE_ROOM;
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

    /** Returns -1 when the length has not arrived whole. */
    private int readLength(ByteBuf in) {
        int length = 0;
        for (int i = 0; i < MAX_VARINT_BYTES; i++) {
            if (!in.isReadable()) {
                return -1;
            }
            byte next = in.readByte();
            length |= (next & VARINT_MASK) << (VARINT_BITS * i);
            if (next >= 0) {
                return checked(length);
            }
        }
        throw new CorruptedFrameException("length longer than " + MAX_VARINT_BYTES + " bytes");
    }

    /** A corrupt or hostile length would make the process buffer without end; the connection is closed instead. */
    private int checked(int length) {
        if (length < 0 || length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes, limit " + maxFrameBytes);
        }
        return length;
    }
}

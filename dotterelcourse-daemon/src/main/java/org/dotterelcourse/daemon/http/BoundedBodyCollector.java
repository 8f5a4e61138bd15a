package org.dotterelcourse.daemon.http;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects the body of a request or response up to a maximum length. Without the limit, a body of unlimited length would
 * exhaust the memory of an entry VM and fail the requests of all its callers; with it, only one request fails.
 */
public final class BoundedBodyCollector {
    private final int maxBytes;

    /**
     * Creates a collector, which can be used for any number of bodies.
     *
     * @param maxBytes maximum length of a body in bytes
     */
    public BoundedBodyCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Collects a body.
     *
     * @param content the buffers of the body; they are copied and must be released by the publisher
     * @return the complete body; fails with {@link TooLargeException} as soon as the length exceeds the limit
     */
    public Mono<byte[]> collect(Flux<ByteBuf> content) {
        return content.collect(ByteArrayOutputStream::new, this::append).map(ByteArrayOutputStream::toByteArray);
    }

    private void append(ByteArrayOutputStream body, ByteBuf buffer) {
        if (body.size() + buffer.readableBytes() > maxBytes) {
            throw new TooLargeException(maxBytes);
        }
        byte[] bytes = ByteBufUtil.getBytes(buffer);
        body.write(bytes, 0, bytes.length);
    }

    /** Signals that a body is longer than the limit. */
    public static final class TooLargeException extends RuntimeException {
        TooLargeException(int maxBytes) {
            super("body exceeds the limit of " + maxBytes + " bytes", null, false, false);
        }
    }
}

package org.dotterelcourse.daemon.http;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects a body up to a bound. A sender without end would otherwise fill the memory of an entry VM, and every caller
 * of it would lose its request; with the bound one request fails.
 */
public final class BoundedBodyCollector {
    private final int maxBytes;

    /**
     * Makes a collector.
     *
     * @param maxBytes the longest body that is taken
     */
    public BoundedBodyCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Collects.
     *
     * @param content the body's parts, released by their sender
     * @return the whole body; {@link TooLargeException} as soon as it is longer than the bound
     */
    public Mono<byte[]> collect(Flux<ByteBuf> content) {
        return content.collect(ByteArrayOutputStream::new, this::append).map(ByteArrayOutputStream::toByteArray);
    }

    private void append(ByteArrayOutputStream body, ByteBuf part) {
        if (body.size() + part.readableBytes() > maxBytes) {
            throw new TooLargeException(maxBytes);
        }
        byte[] bytes = ByteBufUtil.getBytes(part);
        body.write(bytes, 0, bytes.length);
    }

    /** The body is longer than the bound. */
    public static final class TooLargeException extends RuntimeException {
        TooLargeException(int maxBytes) {
            super("longer than " + maxBytes + " bytes", null, false, false);
        }
    }
}

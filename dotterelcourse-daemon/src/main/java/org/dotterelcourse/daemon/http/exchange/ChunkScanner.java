package org.dotterelcourse.daemon.http.exchange;

import io.netty.buffer.ByteBuf;

/**
 * Checks that the framing of a body in chunks, with its trailers, keeps to the grammar of RFC 9112, 7.1: an ordinary decoder
 * tolerates lines that are none, and what it makes of them looks like a whole body. Data of chunks are passed over unread.
 */
final class ChunkScanner {
    /** Digits of the largest size that fits into an int. */
    private static final int MAX_SIZE_DIGITS = 8;

    private static final int RADIX = 16;

    private Part part = Part.SIZE;

    /** Bytes that are checked and not decoded yet. */
    private int pendingBytes;

    private long size;
    private int sizeDigits;

    private enum Part {
        SIZE,
        EXTENSION,
        SIZE_LINE_END,
        DATA,
        DATA_END,
        DATA_LINE_END,
        TRAILER_BEGIN,
        TRAILER_NAME,
        TRAILER_VALUE,
        TRAILER_LINE_END,
        BODY_LINE_END,
        BODY_END,
        INVALID
    }

    /**
     * Checks the bytes of the body that were not checked before. Bytes behind its end are not checked.
     *
     * @param data begins with the first byte that is not decoded yet
     * @return whether the body is valid so far
     */
    boolean scan(ByteBuf data) {
        int index = data.readerIndex() + pendingBytes;
        while (index < data.writerIndex() && part != Part.BODY_END && part != Part.INVALID) {
            if (part == Part.DATA) {
                int length = (int) Math.min(size, data.writerIndex() - index);
                size -= length;
                index += length;
                part = size == 0 ? Part.DATA_END : Part.DATA;
            } else {
                process(data.getByte(index));
                index++;
            }
        }
        pendingBytes = index - data.readerIndex();
        return part != Part.INVALID;
    }

    /** Notes that bytes were decoded. */
    void recordDecoded(int bytes) {
        pendingBytes -= bytes;
    }

    /** Prepares for the next body. */
    void reset() {
        pendingBytes = 0;
        beginChunk();
    }

    private void beginChunk() {
        part = Part.SIZE;
        size = 0;
        sizeDigits = 0;
    }

    private void process(byte value) {
        switch (part) {
            case SIZE, EXTENSION -> processSizeLine(value);
            case SIZE_LINE_END -> expect(value, '\n', size == 0 ? Part.TRAILER_BEGIN : Part.DATA);
            case DATA_END -> expect(value, '\r', Part.DATA_LINE_END);
            case DATA_LINE_END -> {
                beginChunk();
                expect(value, '\n', Part.SIZE);
            }
            case BODY_LINE_END -> expect(value, '\n', Part.BODY_END);
            default -> processTrailers(value);
        }
    }

    private void processSizeLine(byte value) {
        int digit = part == Part.SIZE ? Character.digit(value, RADIX) : -1;
        if (digit >= 0) {
            size = size * RADIX + digit;
            sizeDigits++;
            part = sizeDigits <= MAX_SIZE_DIGITS && size <= Integer.MAX_VALUE ? Part.SIZE : Part.INVALID;
        } else if (sizeDigits == 0) {
            part = Part.INVALID;
        } else if (value == '\r') {
            part = Part.SIZE_LINE_END;
        } else {
            boolean isExtension = part == Part.EXTENSION ? FieldBytes.isInText(value) : isExtensionBegin(value);
            part = isExtension ? Part.EXTENSION : Part.INVALID;
        }
    }

    private static boolean isExtensionBegin(byte value) {
        return value == ';' || value == ' ' || value == '\t';
    }

    private void processTrailers(byte value) {
        if (part == Part.TRAILER_LINE_END) {
            expect(value, '\n', Part.TRAILER_BEGIN);
        } else if (part == Part.TRAILER_VALUE) {
            if (value == '\r') {
                part = Part.TRAILER_LINE_END;
            } else if (!FieldBytes.isInText(value)) {
                part = Part.INVALID;
            }
        } else if (part == Part.TRAILER_BEGIN && value == '\r') {
            part = Part.BODY_LINE_END;
        } else if (part == Part.TRAILER_NAME && value == ':') {
            part = Part.TRAILER_VALUE;
        } else {
            part = FieldBytes.isInName(value) ? Part.TRAILER_NAME : Part.INVALID;
        }
    }

    private void expect(byte value, char expected, Part next) {
        part = value == expected ? next : Part.INVALID;
    }
}

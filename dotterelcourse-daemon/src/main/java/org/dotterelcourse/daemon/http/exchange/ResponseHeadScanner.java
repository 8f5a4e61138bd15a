package org.dotterelcourse.daemon.http.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.util.ByteProcessor;

/**
 * Checks byte by byte that data is the head of one HTTP/1.1 response by the grammar of RFC 9112, without the tolerance that
 * the RFC allows to recipients: no bare CR or LF, no line folding, no second status line anywhere in the head.
 */
final class ResponseHeadScanner implements ByteProcessor {
    /** Longest head in bytes: the codec's limits for a status line and for headers. */
    static final int MAX_BYTES =
            HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH + HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE;

    private final StatusLineScanner statusLines = new StatusLineScanner();
    private Part part = Part.STATUS_LINE;
    private Result result = Result.INCOMPLETE;
    private int scanned;

    /** Results of a check. */
    enum Result {
        /** More bytes are needed. */
        INCOMPLETE,
        /** The head is complete. */
        COMPLETE,
        /** The bytes are not the head of a response. */
        INVALID,
        /** There is a second status line in the head. */
        JOINED
    }

    private enum Part {
        STATUS_LINE,
        REASON,
        LINE_END,
        LINE_BEGIN,
        NAME,
        VALUE,
        HEAD_END
    }

    /**
     * Checks the bytes that were not checked before.
     *
     * @param data begins with the first byte of the head
     */
    Result scan(ByteBuf data) {
        int length = Math.min(data.readableBytes(), MAX_BYTES);
        if (result == Result.INCOMPLETE) {
            data.forEachByte(data.readerIndex() + scanned, length - scanned, this);
            if (result == Result.INCOMPLETE && scanned == MAX_BYTES) {
                result = Result.INVALID;
            }
        }
        return result;
    }

    /** Prepares for the next head. */
    void reset() {
        statusLines.reset();
        part = Part.STATUS_LINE;
        result = Result.INCOMPLETE;
        scanned = 0;
    }

    /** Returns the number of bytes of the head so far. */
    int scannedBytes() {
        return scanned;
    }

    @Override
    public boolean process(byte value) {
        int position = scanned++;
        if (part == Part.STATUS_LINE) {
            processStatusLine(value, position);
        } else if (statusLines.scan(value)) {
            result = Result.JOINED;
        } else {
            processAfterStatusCode(value);
        }
        return result == Result.INCOMPLETE;
    }

    private void processStatusLine(byte value, int position) {
        if (position < StatusLineScanner.length()) {
            if (!StatusLineScanner.isExpected(value, position)) {
                result = Result.INVALID;
            }
        } else if (value == '\r') {
            part = Part.LINE_END;
        } else if (value == ' ') {
            part = Part.REASON;
        } else {
            result = Result.INVALID;
        }
    }

    private void processAfterStatusCode(byte value) {
        switch (part) {
            case REASON, VALUE -> processText(value);
            case LINE_END -> expectLineFeed(value, Part.LINE_BEGIN);
            case LINE_BEGIN -> {
                part = value == '\r' ? Part.HEAD_END : Part.NAME;
                if (part == Part.NAME) {
                    processName(value);
                }
            }
            case NAME -> {
                if (value == ':') {
                    part = Part.VALUE;
                } else {
                    processName(value);
                }
            }
            default -> {
                expectLineFeed(value, Part.STATUS_LINE);
                if (result == Result.INCOMPLETE) {
                    result = Result.COMPLETE;
                }
            }
        }
    }

    private void processText(byte value) {
        if (value == '\r') {
            part = Part.LINE_END;
        } else if (!FieldBytes.isInText(value)) {
            result = Result.INVALID;
        }
    }

    private void processName(byte value) {
        if (!FieldBytes.isInName(value)) {
            result = statusLines.isInProtocolVersion() ? Result.JOINED : Result.INVALID;
        }
    }

    private void expectLineFeed(byte value, Part next) {
        if (value == '\n') {
            part = next;
        } else {
            result = Result.INVALID;
        }
    }
}

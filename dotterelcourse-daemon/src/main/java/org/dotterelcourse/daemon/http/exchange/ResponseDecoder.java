package org.dotterelcourse.daemon.http.exchange;

import java.io.IOException;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.dotterelcourse.daemon.http.exchange.ResponseFault.Kind;
import reactor.netty.Connection;

/** Decodes the response to the request in flight, and rejects everything else that arrives on a connection. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int SWITCHING_PROTOCOLS = 101;

    /** Bytes of bodies of other responses that are skipped before the response to a request. */
    private static final int MAX_SKIPPED_BYTES = 64 << 10;

    /** Other responses, interim ones included, that are skipped before the response to a request. */
    private static final int MAX_SKIPPED_MESSAGES = 16;

    private final ResponseMatcher matcher;
    private final ResponseFaultListener listener;
    private final ResponseHeadScanner heads = new ResponseHeadScanner();
    private final ChunkScanner chunks = new ChunkScanner();
    private final StatusLineScanner skippedStatusLines = new StatusLineScanner();
    private State state = State.IDLE;
    private String requestId = "";
    private HttpMethod method = HttpMethod.GET;
    private int exchangeCount;
    private int skippedBytes;
    private int skippedMessages;
    private int checkedObjects;
    private boolean hasSkipped;
    private boolean isTruncated;
    private ResponseFraming framing = ResponseFraming.LENGTH;
    private boolean isRequestWritten = true;

    /** Whether the server has ended its side of the connection. */
    private boolean isInputEnded;

    /** Whether a read or a write of the connection has failed. */
    private boolean hasFailed;

    private enum State {
        /** No request is in flight. */
        IDLE,
        /** The head of the response is expected. */
        HEAD,
        /** The body of the response is expected. */
        BODY,
        /** The body of a response to another request is expected, and then the head of the response. */
        SKIPPED_BODY,
        /** The connection is being closed; what arrives is discarded. */
        CLOSED
    }

    ResponseDecoder(ResponseMatcher matcher, ResponseFaultListener listener) {
        this.matcher = matcher;
        this.listener = listener;
    }

    int exchangeCount() {
        return exchangeCount;
    }

    /** Notes that a request is sent. Fails if it can't be told what belongs to its response. */
    void beginExchange(ChannelHandlerContext context, HttpRequest request) throws IOException {
        if (state != State.IDLE || actualReadableBytes() > 0) {
            state = State.CLOSED;
            context.close();
            throw new IOException("connection is not idle");
        }
        state = State.HEAD;
        exchangeCount++;
        isRequestWritten = false;
        skippedBytes = 0;
        skippedMessages = 0;
        requestId = matcher.requestId(request.headers());
        method = request.method();
    }

    /** Notes that the request was written whole. */
    void endRequest(ChannelHandlerContext context) {
        isRequestWritten = true;
        if (isInputEnded) {
            context.close();
        }
    }

    /**
     * Notes that the request can't be written. A reset that a write meets first is not seen by any read, so that a response
     * that has begun and not ended fails here.
     */
    void failRequest(ChannelHandlerContext context) {
        boolean isBegun = state == State.BODY;
        failConnection(context);
        if (isBegun) {
            state = State.CLOSED;
            context.fireExceptionCaught(new InvalidResponseException(
                    "connection failed while the request was written, before the response's end"));
        }
    }

    /** Notes that this side closes the connection. */
    void endConnection() {
        state = State.CLOSED;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf data, List<Object> out) throws Exception {
        try {
            decodeNext(context, data, out);
        } catch (RuntimeException e) {
            // An open connection in an unknown state would never be returned to its pool.
            state = State.CLOSED;
            data.skipBytes(data.readableBytes());
            context.executor().execute(context::close);
            throw e;
        }
    }

    private void decodeNext(ChannelHandlerContext context, ByteBuf data, List<Object> out) throws Exception {
        State before = state;
        int begin = data.readerIndex();
        checkedObjects = out.size();
        switch (state) {
            case IDLE -> reject(context, data, Kind.UNSOLICITED_DATA, data.readableBytes() + " bytes");
            case HEAD -> decodeHead(context, data, out);
            case CLOSED -> data.skipBytes(data.readableBytes());
            default -> decodeBody(context, data, out);
        }
        checkDecoded(context, data, out);
        if (before == State.SKIPPED_BODY && state != State.CLOSED) {
            checkSkippedBody(context, data, begin);
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf data, List<Object> out) throws Exception {
        checkedObjects = out.size();
        if (isInputEnded && isRequestWritten && !hasFailed) {
            super.decodeLast(context, data, out);
            checkDecoded(context, data, out);
        }
        reportTruncation(context, data.isReadable());
    }

    /**
     * Closes the connection after the server has ended its side, with which a body may end. As long as the request is not
     * written whole it may still fail, and the response with it.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            super.userEventTriggered(context, event);
            return;
        }
        isInputEnded = true;
        boolean isAwaitingRequest =
                state == State.BODY && framing == ResponseFraming.CONNECTION_END && !isRequestWritten && !hasFailed;
        if (!isAwaitingRequest) {
            context.close();
        }
    }

    /** Notes that the connection fails, before this side closes it for this reason. */
    void failConnection(ChannelHandlerContext context) {
        hasFailed = true;
        reportTruncation(context, actualReadableBytes() > 0);
    }

    private void reportTruncation(ChannelHandlerContext context, boolean isReadable) {
        boolean isBegun = state == State.BODY || state == State.SKIPPED_BODY || state == State.HEAD && isReadable;
        if (isBegun && !isTruncated) {
            isTruncated = true;
            report(context, Kind.TRUNCATED_RESPONSE, state == State.HEAD ? "in its head" : "in its body");
        }
    }

    /** Reads on after skipped messages, for which no receiver asks. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        if (hasSkipped && !context.channel().config().isAutoRead()) {
            context.read();
        }
        hasSkipped = false;
    }

    private void decodeHead(ChannelHandlerContext context, ByteBuf data, List<Object> out) throws Exception {
        switch (heads.scan(data)) {
            case INVALID -> reject(context, data, Kind.INVALID_HEAD, "invalid byte " + heads.scannedBytes());
            case JOINED ->
                reject(context, data, Kind.JOINED_HEADS, "second status line by byte " + heads.scannedBytes());
            case COMPLETE -> {
                heads.reset();
                super.decode(context, data, out);
            }
            default -> {
                // The decoder gets a head only when it is complete and valid.
            }
        }
    }

    private void decodeBody(ChannelHandlerContext context, ByteBuf data, List<Object> out) throws Exception {
        if (framing == ResponseFraming.CHUNKS && !chunks.scan(data)) {
            reject(context, data, Kind.INVALID_BODY, "invalid chunk or trailer");
            return;
        }
        int begin = data.readerIndex();
        super.decode(context, data, out);
        chunks.recordDecoded(data.readerIndex() - begin);
    }

    /** Checks what was decoded since the last call, and removes what does not belong to the response. */
    private void checkDecoded(ChannelHandlerContext context, ByteBuf data, List<Object> out) {
        while (checkedObjects < out.size()) {
            HttpObject object = (HttpObject) out.get(checkedObjects);
            if (object instanceof HttpResponse response) {
                checkResponse(context, data, response);
            }
            boolean isDelivered = state == State.BODY;
            if (object instanceof LastHttpContent) {
                endMessage(context, data, object.decoderResult().isSuccess());
            }
            if (isDelivered) {
                checkedObjects++;
            } else {
                ReferenceCountUtil.release(out.remove(checkedObjects));
                hasSkipped = true;
            }
        }
    }

    private void checkResponse(ChannelHandlerContext context, ByteBuf data, HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            reject(
                    context,
                    data,
                    Kind.INVALID_HEAD,
                    String.valueOf(response.decoderResult().cause()));
            return;
        }
        if (response.status().code() == SWITCHING_PROTOCOLS) {
            reject(context, data, Kind.INVALID_HEAD, "status 101");
            return;
        }
        if (isInterim(response)) {
            state = State.SKIPPED_BODY;
            return;
        }
        switch (matcher.match(requestId, response.headers())) {
            case OWN -> acceptIfFramed(context, data, response);
            case FOREIGN -> skip(context, data, response);
            case UNIDENTIFIED -> {
                if (exchangeCount > 1) {
                    reject(context, data, Kind.FOREIGN_RESPONSE, "no id on a used connection");
                } else {
                    Connection.from(context.channel()).markPersistent(false);
                    acceptIfFramed(context, data, response);
                }
            }
            default -> reject(context, data, Kind.JOINED_HEADS, "contradictory headers");
        }
    }

    private void acceptIfFramed(ChannelHandlerContext context, ByteBuf data, HttpResponse response) {
        setFraming(response);
        if (framing == ResponseFraming.AMBIGUOUS) {
            reject(context, data, Kind.JOINED_HEADS, "several lengths or transfer encodings");
        } else if (framing == ResponseFraming.UNKNOWN) {
            reject(context, data, Kind.UNKNOWN_FRAMING, "its transfer encoding is not understood");
        } else {
            state = State.BODY;
        }
    }

    private void setFraming(HttpResponse response) {
        framing = ResponseFraming.of(response);
        chunks.reset();
    }

    /** Keeps both headers, which an ordinary decoder reduces to one, so that the response can be rejected. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Nothing is removed.
    }

    /** Skips a response to another request if its own framing shows where it ends. */
    private void skip(ChannelHandlerContext context, ByteBuf data, HttpResponse response) {
        setFraming(response);
        boolean isFramed = framing == ResponseFraming.LENGTH
                || framing == ResponseFraming.CHUNKS
                || framing == ResponseFraming.CONNECTION_END && super.isContentAlwaysEmpty(response);
        if (!isFramed || method.equals(HttpMethod.HEAD)) {
            reject(
                    context,
                    data,
                    Kind.FOREIGN_RESPONSE,
                    "status " + response.status().code() + ", not skipped");
            return;
        }
        state = State.SKIPPED_BODY;
        skippedStatusLines.reset();
        report(
                context,
                Kind.FOREIGN_RESPONSE,
                true,
                "status " + response.status().code());
    }

    /** A status line in a skipped body shows that the body is not whole, and that the response may be in it. */
    private void checkSkippedBody(ChannelHandlerContext context, ByteBuf data, int begin) {
        int length = data.readerIndex() - begin;
        skippedBytes += length;
        if (data.forEachByte(begin, length, value -> !skippedStatusLines.scan(value)) >= 0) {
            reject(context, data, Kind.FOREIGN_RESPONSE, "a status line in its body");
        } else if (skippedBytes > MAX_SKIPPED_BYTES) {
            reject(context, data, Kind.FOREIGN_RESPONSE, "its body is too long");
        }
    }

    private void endMessage(ChannelHandlerContext context, ByteBuf data, boolean isValid) {
        if (state == State.BODY && isValid) {
            state = State.IDLE;
            if (!isRequestWritten) {
                // The server may never read the rest, nor what is sent behind it.
                Connection.from(context.channel()).markPersistent(false);
            }
            if (data.isReadable()) {
                endConnection(context, data);
            }
        } else if (state == State.BODY) {
            report(context, Kind.INVALID_BODY, "invalid chunk");
            state = State.CLOSED;
            context.close();
        } else if (state == State.SKIPPED_BODY && isValid && ++skippedMessages <= MAX_SKIPPED_MESSAGES) {
            state = State.HEAD;
        } else if (state == State.SKIPPED_BODY) {
            reject(context, data, Kind.FOREIGN_RESPONSE, isValid ? "too many" : "invalid body");
        }
    }

    /** Ends a connection with data behind a response whose end is not delivered yet, upon which a request could be sent. */
    private void endConnection(ChannelHandlerContext context, ByteBuf data) {
        report(context, Kind.UNSOLICITED_DATA, data.readableBytes() + " bytes behind a response");
        state = State.CLOSED;
        data.skipBytes(data.readableBytes());
        Connection.from(context.channel()).markPersistent(false);
        context.executor().execute(context::close);
    }

    private void reject(ChannelHandlerContext context, ByteBuf data, Kind kind, String detail) {
        boolean isInFlight = state != State.IDLE;
        report(context, kind, detail);
        state = State.CLOSED;
        data.skipBytes(data.readableBytes());
        if (isInFlight) {
            context.fireExceptionCaught(InvalidResponseException.of(kind, detail));
        }
        context.close();
    }

    private void report(ChannelHandlerContext context, Kind kind, String detail) {
        report(context, kind, false, detail);
    }

    private void report(ChannelHandlerContext context, Kind kind, boolean isSkipped, String detail) {
        listener.onFault(new ResponseFault(
                kind,
                context.channel().remoteAddress(),
                requestId,
                exchangeCount,
                state != State.IDLE,
                isSkipped,
                detail));
    }

    private static boolean isInterim(HttpResponse response) {
        return response.status().code() / 100 == 1;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(message);
    }
}

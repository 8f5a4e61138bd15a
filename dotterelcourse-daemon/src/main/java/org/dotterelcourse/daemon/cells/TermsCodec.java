package org.dotterelcourse.daemon.cells;

import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.daemon.cells.generated.AskTerms;
import org.dotterelcourse.daemon.cells.generated.GrantObservation;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Completion;

/**
 * Encodes and decodes the payloads that are opaque to the grant protocol: the terms of a request and the observation of a
 * finished grant.
 *
 * <p>Each request carries the terms of its class, so that an owner with an older configuration still applies the
 * terms under which the request arrived.
 */
final class TermsCodec {
    private static final Completion UNUSED = new Completion(Completion.End.CANCELLED, -1, 0, 0);

    private TermsCodec() {}

    static byte[] encode(CellRequest request) {
        ClassTerms terms = request.terms();
        return AskTerms.newBuilder()
                .setRequestClass(terms.name())
                .setTier(terms.tier())
                .setMinimumShare(terms.minimumShare())
                .setMaxWaiting(terms.maxWaiting())
                .setLateIsUseless(terms.lateIsUseless())
                .setTargetNanos(terms.targetNanos())
                .setTokenIntervalNanos(terms.tokenIntervalNanos())
                .setMaxOutputTokens(terms.maxOutputTokens())
                .setCustomer(request.customer())
                .setInputTokens(request.inputTokens())
                .setPrefix(request.prefix())
                .setIdempotent(request.idempotent())
                .setResumedTokens(request.resumedTokens())
                .addAllExcludedWorkers(request.excludedWorkers())
                .build()
                .toByteArray();
    }

    /**
     * Decodes a request.
     *
     * @param askId the request id
     * @param arrivalNanos arrival time on this process's monotonic clock in nanoseconds
     * @param bytes terms encoded by {@link #encode(CellRequest)}
     * @return the request
     * @throws IllegalArgumentException if the bytes cannot be parsed
     */
    static CellRequest decode(String askId, long arrivalNanos, byte[] bytes) {
        try {
            AskTerms message = AskTerms.parseFrom(bytes);
            ClassTerms terms = new ClassTerms(
                    message.getRequestClass(),
                    message.getTier(),
                    message.getMinimumShare(),
                    message.getMaxWaiting(),
                    message.getLateIsUseless(),
                    message.getTargetNanos(),
                    message.getTokenIntervalNanos(),
                    message.getMaxOutputTokens());
            return new CellRequest(
                    askId,
                    terms,
                    message.getCustomer(),
                    arrivalNanos,
                    message.getInputTokens(),
                    message.getPrefix(),
                    message.getIdempotent(),
                    message.getResumedTokens(),
                    Set.copyOf(message.getExcludedWorkersList()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("cannot parse the terms of a grant request", e);
        }
    }

    static byte[] encode(Completion completion) {
        return GrantObservation.newBuilder()
                .setEnd(completion.end().ordinal())
                .setFirstTokenNanos(completion.firstTokenNanos())
                .setDurationNanos(completion.durationNanos())
                .setOutputTokens(completion.outputTokens())
                .build()
                .toByteArray();
    }

    /** Decodes an observation. An empty observation means that the grant was not used; a malformed one is treated alike. */
    static Completion decodeObservation(byte[] bytes) {
        if (bytes.length == 0) {
            return UNUSED;
        }
        try {
            GrantObservation message = GrantObservation.parseFrom(bytes);
            Completion.End[] ends = Completion.End.values();
            Completion.End end = ends[Math.floorMod(message.getEnd(), ends.length)];
            return new Completion(
                    end, message.getFirstTokenNanos(), message.getDurationNanos(), message.getOutputTokens());
        } catch (InvalidProtocolBufferException e) {
            return UNUSED;
        }
    }
}

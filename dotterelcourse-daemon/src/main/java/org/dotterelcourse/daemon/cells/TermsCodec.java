package org.dotterelcourse.daemon.cells;

import java.util.Set;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.daemon.cells.generated.AskTerms;
import org.dotterelcourse.daemon.cells.generated.GrantObservation;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.ClassTerms;
import org.dotterelcourse.policy.cell.Completion;

/**
 * Writes what the grant protocol carries without looking at it: an ask's terms and a grant's observation.
 *
 * <p>The class's terms travel with each ask, so that an owner whose configuration is a number behind decides by the terms
 * that the request came under.
 */
final class TermsCodec {
    private static final Completion UNUSED = new Completion(Completion.End.CANCELLED, -1, 0, 0);

    private TermsCodec() {}

    static byte[] encode(CellRequest ask) {
        ClassTerms terms = ask.terms();
        return AskTerms.newBuilder()
                .setRequestClass(terms.name())
                .setTier(terms.tier())
                .setMinimumShare(terms.minimumShare())
                .setMaxWaiting(terms.maxWaiting())
                .setLateIsUseless(terms.lateIsUseless())
                .setTargetNanos(terms.targetNanos())
                .setTokenIntervalNanos(terms.tokenIntervalNanos())
                .setMaxOutputTokens(terms.maxOutputTokens())
                .setCustomer(ask.customer())
                .setInputTokens(ask.inputTokens())
                .setPrefix(ask.prefix())
                .setIdempotent(ask.idempotent())
                .setResumedTokens(ask.resumedTokens())
                .addAllExcludedWorkers(ask.excludedWorkers())
                .build()
                .toByteArray();
    }

    /**
     * Reads an ask.
     *
     * @param askId its id
     * @param arrivalNanos when it arrived, on this process's clock
     * @param bytes what {@link #encode(CellRequest)} wrote
     * @return the ask
     * @throws IllegalArgumentException if the bytes are something else
     */
    static CellRequest decode(String askId, long arrivalNanos, byte[] bytes) {
        try {
            AskTerms read = AskTerms.parseFrom(bytes);
            ClassTerms terms = new ClassTerms(
                    read.getRequestClass(),
                    read.getTier(),
                    read.getMinimumShare(),
                    read.getMaxWaiting(),
                    read.getLateIsUseless(),
                    read.getTargetNanos(),
                    read.getTokenIntervalNanos(),
                    read.getMaxOutputTokens());
            return new CellRequest(
                    askId,
                    terms,
                    read.getCustomer(),
                    arrivalNanos,
                    read.getInputTokens(),
                    read.getPrefix(),
                    read.getIdempotent(),
                    read.getResumedTokens(),
                    Set.copyOf(read.getExcludedWorkersList()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("these are not an ask's terms", e);
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

    /** Reads an observation. An empty one means that the grant was never used; so does one that can't be read. */
    static Completion decodeObservation(byte[] bytes) {
        if (bytes.length == 0) {
            return UNUSED;
        }
        try {
            GrantObservation read = GrantObservation.parseFrom(bytes);
            Completion.End[] ends = Completion.End.values();
            Completion.End end = ends[Math.floorMod(read.getEnd(), ends.length)];
            return new Completion(end, read.getFirstTokenNanos(), read.getDurationNanos(), read.getOutputTokens());
        } catch (InvalidProtocolBufferException e) {
            return UNUSED;
        }
    }
}

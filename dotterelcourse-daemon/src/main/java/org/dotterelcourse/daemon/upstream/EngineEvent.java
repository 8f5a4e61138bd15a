package org.dotterelcourse.daemon.upstream;

/** What an engine's stream brings. A stream always ends with {@link Finished} or {@link Failed}, never with an error. */
public sealed interface EngineEvent {
    /**
     * A piece of the answer, counted as one token.
     *
     * @param text the piece
     */
    record Piece(String text) implements EngineEvent {}

    /**
     * The answer is whole.
     *
     * @param reason {@code stop} or {@code length}
     * @param promptTokens length of the prompt
     * @param completionTokens length of the whole answer, with what was resumed from
     */
    record Finished(String reason, int promptTokens, int completionTokens) implements EngineEvent {}

    /**
     * There will be no more of this answer on this connection.
     *
     * @param failure what happened
     */
    record Failed(UpstreamFailure failure) implements EngineEvent {}
}

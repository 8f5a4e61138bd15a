package org.dotterelcourse.daemon.upstream;

/**
 * An event of an engine's answer stream. A stream always ends with {@link Finished} or {@link Failed}, never with an
 * error signal.
 */
public sealed interface EngineEvent {
    /**
     * A part of the answer's text, counted as one token.
     *
     * @param text the text to append to the answer; never empty
     */
    record Piece(String text) implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param reason the engine's finish reason: {@code stop} or {@code length}
     * @param promptTokens the length of the prompt in tokens, as reported by the engine
     * @param completionTokens the length of the whole answer in tokens, including the resumed part, as reported by the
     *     engine
     */
    record Finished(String reason, int promptTokens, int completionTokens) implements EngineEvent {}

    /**
     * The attempt failed; this connection delivers no more of the answer.
     *
     * @param failure the cause, and whether the request may have run
     */
    record Failed(UpstreamFailure failure) implements EngineEvent {}
}

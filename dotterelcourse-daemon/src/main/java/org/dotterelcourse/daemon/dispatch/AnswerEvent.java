package org.dotterelcourse.daemon.dispatch;

/** An event of a streamed answer. The stream always ends with {@link Finished} or {@link Failed}. */
public sealed interface AnswerEvent {
    /**
     * The next part of the answer text.
     *
     * @param text the generated text, usually one token
     */
    record Piece(String text) implements AnswerEvent {}

    /**
     * The answer is complete.
     *
     * @param reason the finish reason, {@code stop} or {@code length}
     * @param promptTokens length of the prompt in tokens
     * @param completionTokens length of the answer in tokens
     */
    record Finished(String reason, int promptTokens, int completionTokens) implements AnswerEvent {}

    /**
     * The answer ends incomplete.
     *
     * @param failure the failure reported to the caller
     */
    record Failed(Failure failure) implements AnswerEvent {}
}

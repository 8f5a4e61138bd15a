package org.dotterelcourse.daemon.dispatch;

/** What a caller's answer is made of. It always ends with {@link Finished} or {@link Failed}. */
public sealed interface AnswerEvent {
    /**
     * The next piece of the answer.
     *
     * @param text the piece
     */
    record Piece(String text) implements AnswerEvent {}

    /**
     * The answer is whole.
     *
     * @param reason {@code stop} or {@code length}
     * @param promptTokens length of the prompt
     * @param completionTokens length of the answer
     */
    record Finished(String reason, int promptTokens, int completionTokens) implements AnswerEvent {}

    /**
     * The answer ends here without being whole.
     *
     * @param failure what the caller is told
     */
    record Failed(Failure failure) implements AnswerEvent {}
}

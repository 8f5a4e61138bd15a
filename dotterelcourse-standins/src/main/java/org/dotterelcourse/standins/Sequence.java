package org.dotterelcourse.standins;

/** One request inside an engine. Guarded by the engine's lock. */
final class Sequence {
    /** Where the tokens go. Called with the engine's lock held, so it must not block. */
    interface Sink {
        void token(String text);

        void finished(Sequence sequence);

        void lost();
    }

    final String requestId;
    final String prompt;
    final int priority;
    final int promptTokens;
    final int lastToken;
    final int firstToken;
    final boolean kvImported;
    final Sink sink;
    private final long seed;
    private int produced;
    private int prefillLeft;

    Sequence(String requestId, String prompt, int priority, Resume resume, int maxTokens, Sink sink) {
        this.requestId = requestId;
        this.prompt = prompt;
        this.priority = priority;
        this.sink = sink;
        this.seed = ExpectedAnswer.hash(prompt);
        this.promptTokens = ExpectedAnswer.promptTokens(prompt);
        int natural = ExpectedAnswer.naturalTokens(prompt);
        this.lastToken = maxTokens > 0 ? Math.min(natural, maxTokens) : natural;
        this.firstToken = Math.min(resume.tokens(), lastToken);
        this.kvImported = resume.kvImported();
        this.produced = firstToken;
    }

    /**
     * Where an answer goes on.
     *
     * @param tokens how many tokens the caller has
     * @param kvImported whether the KV cache up to there was imported
     */
    record Resume(int tokens, boolean kvImported) {
        static final Resume NONE = new Resume(0, false);
    }

    void needPrefill(int tokens) {
        prefillLeft = tokens;
    }

    int prefillLeft() {
        return prefillLeft;
    }

    void prefilled(int tokens) {
        prefillLeft -= tokens;
    }

    void decode() {
        sink.token(ExpectedAnswer.token(seed, produced));
        produced++;
    }

    boolean complete() {
        return produced >= lastToken;
    }

    int produced() {
        return produced;
    }

    int generated() {
        return produced - firstToken;
    }

    boolean truncated() {
        return lastToken < ExpectedAnswer.naturalTokens(prompt);
    }
}

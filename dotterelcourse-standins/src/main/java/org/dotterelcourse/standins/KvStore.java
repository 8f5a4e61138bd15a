package org.dotterelcourse.standins;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * KV caches by request id: of requests that ran here, for export, and of those imported from elsewhere. The bytes are a
 * head of prompt hash and token count, and padding in proportion to the tokens. Guarded by the engine's lock.
 */
final class KvStore {
    static final int BYTES_PER_TOKEN = 64;
    private static final int HEAD_BYTES = Long.BYTES + Integer.BYTES;
    private static final int MAX_ENTRIES = 256;
    private static final int MAX_TOKENS = 1 << 18;

    private record Entry(long prompt, int tokens) {}

    private final Map<String, Entry> own = bounded();
    private final Map<String, Entry> imported = bounded();

    void keep(Sequence sequence) {
        own.put(sequence.requestId, new Entry(ExpectedAnswer.hash(sequence.prompt), sequence.produced()));
    }

    /** The bytes of a request's cache, or null if there is none. */
    byte[] export(String requestId) {
        Entry entry = own.get(requestId);
        if (entry == null) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.allocate(HEAD_BYTES + BYTES_PER_TOKEN * Math.min(entry.tokens, MAX_TOKENS));
        bytes.putLong(entry.prompt).putInt(entry.tokens);
        return bytes.array();
    }

    void put(String requestId, byte[] bytes) {
        if (bytes.length < HEAD_BYTES) {
            throw new IllegalArgumentException("not a KV cache");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Entry entry = new Entry(buffer.getLong(), buffer.getInt());
        if (bytes.length != HEAD_BYTES + BYTES_PER_TOKEN * Math.min(entry.tokens, MAX_TOKENS)) {
            throw new IllegalArgumentException("the KV cache is not whole");
        }
        imported.put(requestId, entry);
    }

    /** Whether an imported cache covers an answer so far. */
    boolean covers(String requestId, String prompt, int tokens) {
        Entry entry = imported.get(requestId);
        return entry != null && entry.prompt == ExpectedAnswer.hash(prompt) && entry.tokens >= tokens;
    }

    void clear() {
        own.clear();
        imported.clear();
    }

    private static Map<String, Entry> bounded() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
                return size() > MAX_ENTRIES;
            }
        };
    }
}

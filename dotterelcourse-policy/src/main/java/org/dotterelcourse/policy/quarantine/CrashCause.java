package org.dotterelcourse.policy.quarantine;

/**
 * What may have caused crashes of workers: the content of a request, or a part of prompts at workers of one software version.
 * Another version may bear the part.
 *
 * @param fingerprint fingerprint of the content or of the part
 * @param version hash of the software version, 0 for contents, which are held back from all versions
 */
public record CrashCause(Fingerprint fingerprint, int version) {
    /**
     * Creates the cause of crashes by a request's content.
     *
     * @param request fingerprint of the request
     * @return the cause
     */
    public static CrashCause ofContent(Fingerprint request) {
        return new CrashCause(request, 0);
    }

    /**
     * Creates the cause of crashes by a part of prompts.
     *
     * @param part fingerprint of the part
     * @param version software version of the workers, empty if it is unknown
     * @return the cause
     */
    public static CrashCause ofPart(Fingerprint part, String version) {
        int hash = version.hashCode();
        return new CrashCause(part, hash == 0 ? 1 : hash);
    }

    /**
     * Returns whether this is a part of prompts.
     *
     * @return false for the content of a request
     */
    public boolean isPart() {
        return version != 0;
    }

    @Override
    public String toString() {
        return isPart() ? "part " + fingerprint : fingerprint.toString();
    }
}

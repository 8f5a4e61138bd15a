package org.dotterelcourse.daemon.http.exchange;

/** Is notified of violations of the framing of responses, on the event loop of the connection. */
public interface ResponseFaultListener {
    /** Ignores all violations. */
    ResponseFaultListener NONE = fault -> {};

    /**
     * A violation was detected. The connection is closed afterwards, unless the message is skipped ({@link ResponseFault#isSkipped}).
     *
     * @param fault the violation
     */
    void onFault(ResponseFault fault);
}

package org.dotterelcourse.gateway.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Tells whether what came back on a worker's connection is the worker's answer to the request that was sent there. */
final class AnswerCheck {
    private final Dialect dialect;

    AnswerCheck(Dialect dialect) {
        this.dialect = dialect;
    }

    /** Whether an answer is a worker's and belongs to the request; its body is not looked at. */
    boolean own(Call call, OpenAnswer open) {
        return dialect.marked(open.headers()) && answers(call, open.headers());
    }

    /** Whether an answer names the request that it is for, whoever gave it. */
    boolean answers(Call call, HttpHeaders headers) {
        return dialect.requestId(headers).equals(call.terms().id());
    }

    /** Whether an answer is a stream that can be passed on as it comes. */
    boolean passable(Call call, OpenAnswer open) {
        return call.terms().route().isStreaming()
                && own(call, open)
                && open.status() / 100 == 2
                && !encoded(open.headers());
    }

    /** What a whole answer says of the attempt. */
    AttemptResult classify(Call call, WholeAnswer answer) {
        if (dialect.notRun(answer.status(), answer.headers())) {
            return new AttemptResult.NotRun("refused with " + answer.status(), true);
        }
        if (!answers(call, answer.headers())) {
            return new AttemptResult.Unknown("an answer to another request came");
        }
        if (!dialect.marked(answer.headers()) || encoded(answer.headers())) {
            return new AttemptResult.Unknown("the answer is not a worker's");
        }
        if (StatusPromise.notRun(answer.status())) {
            return new AttemptResult.Unknown("a refusal without the worker's word that it has not run");
        }
        return new AttemptResult.Answered(answer);
    }

    /** Clients ask for bodies without any encoding, so that an encoded one is not the worker's. */
    private static boolean encoded(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    }
}

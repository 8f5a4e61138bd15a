package org.dotterelcourse.gateway.forward;

import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.util.context.Context;

/**
 * A subscription that passes signals on to one subscriber and its demand to the publisher. Used on one event loop only,
 * so that subclasses need no locks.
 *
 * @param <I> the items of the publisher
 * @param <O> the items of the subscriber
 */
abstract class RelaySubscriber<I, O> implements CoreSubscriber<I>, Subscription {
    private final CoreSubscriber<? super O> actual;
    private Subscription upstream;

    RelaySubscriber(CoreSubscriber<? super O> actual) {
        this.actual = actual;
    }

    final CoreSubscriber<? super O> actual() {
        return actual;
    }

    final Subscription upstream() {
        return upstream;
    }

    @Override
    public final Context currentContext() {
        return actual.currentContext();
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        upstream = subscription;
        actual.onSubscribe(this);
    }

    @Override
    public void request(long count) {
        upstream.request(count);
    }
}

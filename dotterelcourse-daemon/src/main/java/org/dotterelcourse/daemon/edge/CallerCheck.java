package org.dotterelcourse.daemon.edge;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Customer;
import org.dotterelcourse.configuration.RequestClass;
import org.dotterelcourse.configuration.Upstream;
import org.dotterelcourse.daemon.dispatch.Failure;
import org.dotterelcourse.daemon.platform.ConfigurationStore;

/** Finds out from a request's headers who calls and in which class. */
final class CallerCheck {
    private static final String BEARER = "Bearer ";
    private static final long NOT_READY_RETRY_NANOS = 1_000_000_000L;

    private final ConfigurationStore store;

    CallerCheck(ConfigurationStore store) {
        this.store = store;
    }

    Parsed<Caller> caller(HttpHeaders headers) {
        Optional<Configuration> configuration = store.inForce();
        if (configuration.isEmpty()) {
            return Parsed.wrong(Failure.notRun(Failure.UNAVAILABLE, "not ready", "this daemon has no configuration yet")
                    .retryAfter(NOT_READY_RETRY_NANOS));
        }
        String authorization = headers.get("Authorization", "");
        if (!authorization.startsWith(BEARER)) {
            return Parsed.wrong(unauthorized("a bearer key is needed"));
        }
        return configuration
                .get()
                .customerOfKey(sha256(authorization.substring(BEARER.length())))
                .map(customer -> Parsed.right(new Caller(customer, configuration.get())))
                .orElseGet(() -> Parsed.wrong(unauthorized("the key belongs to no customer")));
    }

    /** The class of a chat completion: the one the header names, else the customer's default. */
    Parsed<RequestClass> chatClass(Caller caller, HttpHeaders headers) {
        String name = headers.get("X-Request-Class", caller.customer().defaultClass());
        Parsed<RequestClass> found = named(caller, name);
        if (found instanceof Parsed.Right<RequestClass> right
                && right.value().model().isEmpty()) {
            return Parsed.wrong(Failure.notRun(
                    Failure.NOT_FOUND, "unknown class", "the class " + name + " is served by a plain service"));
        }
        return found;
    }

    /**
     * The class of a call to a plain service: the one the header names, else the customer's default, else the only one
     * that the customer has for the service.
     */
    Parsed<RequestClass> serviceClass(Caller caller, HttpHeaders headers, String upstream) {
        if (!isService(caller.configuration(), upstream)) {
            return Parsed.wrong(
                    Failure.notRun(Failure.NOT_FOUND, "unknown upstream", "there is no plain service " + upstream)
                            .known(services(caller)));
        }
        List<String> fitting = caller.customer().classes().stream()
                .filter(name -> servedBy(caller.configuration(), name, upstream))
                .toList();
        String fallback =
                fitting.size() == 1 ? fitting.get(0) : caller.customer().defaultClass();
        String name = headers.get("X-Request-Class", fallback);
        if (!fitting.contains(name)) {
            return Parsed.wrong(unknownClass(name + " for " + upstream, fitting));
        }
        return named(caller, name);
    }

    private static Parsed<RequestClass> named(Caller caller, String name) {
        Customer customer = caller.customer();
        Optional<RequestClass> found = caller.configuration().requestClass(name);
        if (found.isEmpty() || !customer.classes().contains(name)) {
            return Parsed.wrong(unknownClass(name, customer.classes()));
        }
        return Parsed.right(found.get());
    }

    private static List<String> services(Caller caller) {
        return caller.customer().classes().stream()
                .flatMap(name -> caller.configuration().requestClass(name).stream())
                .map(RequestClass::upstream)
                .filter(upstream -> isService(caller.configuration(), upstream))
                .distinct()
                .toList();
    }

    private static boolean isService(Configuration configuration, String upstream) {
        return configuration
                .upstream(upstream)
                .filter(found -> found.kind() == Upstream.Kind.SERVICE)
                .isPresent();
    }

    private static boolean servedBy(Configuration configuration, String requestClass, String upstream) {
        return configuration
                .requestClass(requestClass)
                .filter(found -> found.upstream().equals(upstream))
                .isPresent();
    }

    private static Failure unknownClass(String name, List<String> known) {
        return Failure.notRun(Failure.NOT_FOUND, "unknown class", "the customer has no class " + name)
                .known(known);
    }

    private static Failure unauthorized(String detail) {
        return Failure.notRun(Failure.UNAUTHORIZED, "unknown customer", detail);
    }

    private static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

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

/** Authenticates callers by their bearer key and resolves the class of a request from its headers. */
final class CallerResolver {
    private static final String BEARER_PREFIX = "Bearer ";
    private static final long NOT_READY_RETRY_NANOS = 1_000_000_000L;

    private final ConfigurationStore store;

    CallerResolver(ConfigurationStore store) {
        this.store = store;
    }

    /**
     * Authenticates a caller.
     *
     * @param headers the request's headers
     * @return the caller, or the failure if this daemon has no configuration yet or the key is missing or unknown
     */
    Parsed<Caller> authenticate(HttpHeaders headers) {
        Optional<Configuration> configuration = store.inForce();
        if (configuration.isEmpty()) {
            return Parsed.invalid(
                    Failure.notRun(Failure.UNAVAILABLE, "not ready", "this daemon has no configuration yet")
                            .retryAfter(NOT_READY_RETRY_NANOS));
        }
        String authorization = headers.get("Authorization", "");
        if (!authorization.startsWith(BEARER_PREFIX)) {
            return Parsed.invalid(unauthorizedFailure("a bearer key is needed"));
        }
        return configuration
                .get()
                .customerOfKey(sha256Hex(authorization.substring(BEARER_PREFIX.length())))
                .map(customer -> Parsed.valid(new Caller(customer, configuration.get())))
                .orElseGet(() -> Parsed.invalid(unauthorizedFailure("the key belongs to no customer")));
    }

    /**
     * Resolves the class of a chat completion: the one that the header names, otherwise the customer's default.
     *
     * @param caller the authenticated caller
     * @param headers the request's headers
     * @return the class, or the failure if the customer has no such class or a plain service serves it
     */
    Parsed<RequestClass> resolveChatClass(Caller caller, HttpHeaders headers) {
        String name = headers.get("X-Request-Class", caller.customer().defaultClass());
        Parsed<RequestClass> found = resolveClass(caller, name);
        if (found instanceof Parsed.Valid<RequestClass> valid
                && valid.value().model().isEmpty()) {
            return Parsed.invalid(Failure.notRun(
                    Failure.NOT_FOUND, "unknown class", "the class " + name + " is served by a plain service"));
        }
        return found;
    }

    /**
     * Resolves the class of a call to a plain service. The header takes precedence; without it, the class is the only
     * one that the customer has for the service or, if there are none or several, the customer's default.
     *
     * @param caller the authenticated caller
     * @param headers the request's headers
     * @param upstream the upstream's name from the request path
     * @return the class, or the failure if there is no such service or the class isn't one of the customer's for it
     */
    Parsed<RequestClass> resolveServiceClass(Caller caller, HttpHeaders headers, String upstream) {
        if (!isService(caller.configuration(), upstream)) {
            return Parsed.invalid(
                    Failure.notRun(Failure.NOT_FOUND, "unknown upstream", "there is no plain service " + upstream)
                            .known(serviceNames(caller)));
        }
        List<String> eligibleClasses = caller.customer().classes().stream()
                .filter(name -> isServedBy(caller.configuration(), name, upstream))
                .toList();
        String defaultName = eligibleClasses.size() == 1
                ? eligibleClasses.get(0)
                : caller.customer().defaultClass();
        String name = headers.get("X-Request-Class", defaultName);
        if (!eligibleClasses.contains(name)) {
            return Parsed.invalid(unknownClassFailure(name + " for " + upstream, eligibleClasses));
        }
        return resolveClass(caller, name);
    }

    private static Parsed<RequestClass> resolveClass(Caller caller, String name) {
        Customer customer = caller.customer();
        Optional<RequestClass> found = caller.configuration().requestClass(name);
        if (found.isEmpty() || !customer.classes().contains(name)) {
            return Parsed.invalid(unknownClassFailure(name, customer.classes()));
        }
        return Parsed.valid(found.get());
    }

    private static List<String> serviceNames(Caller caller) {
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

    private static boolean isServedBy(Configuration configuration, String requestClass, String upstream) {
        return configuration
                .requestClass(requestClass)
                .filter(found -> found.upstream().equals(upstream))
                .isPresent();
    }

    private static Failure unknownClassFailure(String name, List<String> validNames) {
        return Failure.notRun(Failure.NOT_FOUND, "unknown class", "the customer has no class " + name)
                .known(validNames);
    }

    private static Failure unauthorizedFailure(String detail) {
        return Failure.notRun(Failure.UNAUTHORIZED, "unknown customer", detail);
    }

    private static String sha256Hex(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}

package org.wagtailcart.entry.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wagtailcart.common.Priority;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.UpstreamKind;
import org.wagtailcart.common.WagtailcartException;

/** Classifier that converts the HTTP request of a caller to a {@link CallerRequest}. Stateless. */
public final class RequestClassifier {
    /** Longest deadline that a caller may request. */
    public static final long MAX_DEADLINE_MILLIS = 3_600_000;

    private static final long DEFAULT_DEADLINE_MILLIS = 60_000;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 255;
    private static final String SERVICES = "/services/";
    private static final Set<String> COMPLETION_PATHS = Set.of("/v1/chat/completions", "/v1/completions");
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,128}";

    private RequestClassifier() {}

    /** Returns whether a path addresses a model or service. */
    public static boolean isRoutable(String path) {
        return COMPLETION_PATHS.contains(path) || path.startsWith(SERVICES);
    }

    /**
     * Classifies a request.
     *
     * @throws WagtailcartException when the request is invalid or its model or service does not exist
     */
    public static CallerRequest classify(HttpRequestHead head, byte[] body, PoolDirectory pools, long nowMillis) {
        String workspace = workspace(head);
        return COMPLETION_PATHS.contains(head.path())
                ? completion(head, body, workspace, pools, nowMillis)
                : serviceCall(head, body, workspace, pools, nowMillis);
    }

    private static CallerRequest completion(
            HttpRequestHead head, byte[] body, String workspace, PoolDirectory pools, long nowMillis) {
        if (!head.method().equals("POST")) {
            throw invalid("method " + head.method() + " is not allowed for " + head.path() + "; use POST");
        }
        CompletionRequest completion = CompletionRequest.parse(body);
        String model = completion.model();
        if (!pools.hasPool(UpstreamKind.ENGINE, model)) {
            throw new WagtailcartException(ResultCode.MODEL_UNKNOWN, "model \"" + model + "\" does not exist");
        }
        return new CallerRequest(
                RequestKind.COMPLETION,
                workspace,
                priority(head, workspace, pools, UpstreamKind.ENGINE, model),
                deadline(head, workspace, pools, UpstreamKind.ENGINE, model, nowMillis),
                model,
                "POST",
                head.path(),
                List.of("Content-Type", "application/json"),
                body,
                Optional.of(completion),
                Optional.empty());
    }

    private static CallerRequest serviceCall(
            HttpRequestHead head, byte[] body, String workspace, PoolDirectory pools, long nowMillis) {
        String rest = head.path().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        if (!pools.hasPool(UpstreamKind.SERVICE, service)) {
            throw new WagtailcartException(ResultCode.NOT_FOUND, "service \"" + service + "\" does not exist");
        }
        Optional<String> key = head.header("Idempotency-Key");
        RequestKind kind = serviceKind(head, path, service, pools, key);
        return new CallerRequest(
                kind,
                workspace,
                priority(head, workspace, pools, UpstreamKind.SERVICE, service),
                deadline(head, workspace, pools, UpstreamKind.SERVICE, service, nowMillis),
                service,
                head.method(),
                head.query().isEmpty() ? path : path + "?" + head.query(),
                HttpRequestHead.endToEndHeaders(head.headers()),
                body,
                Optional.empty(),
                kind.retryable() ? Optional.empty() : key);
    }

    private static RequestKind serviceKind(
            HttpRequestHead head, String path, String service, PoolDirectory pools, Optional<String> key) {
        boolean atMostOnce = pools.runsAtMostOnce(service, head.method(), normalizedPath(path));
        if (atMostOnce && key.isEmpty()) {
            throw new WagtailcartException(
                    ResultCode.IDEMPOTENCY_KEY_MISSING,
                    head.method() + " " + path + " runs at most once and needs the header Idempotency-Key");
        }
        key.filter(value -> value.isBlank() || value.length() > MAX_IDEMPOTENCY_KEY_LENGTH)
                .ifPresent(value -> {
                    throw invalid("header Idempotency-Key has " + value.length() + " characters; 1 to "
                            + MAX_IDEMPOTENCY_KEY_LENGTH + " are accepted");
                });
        boolean keyGiven = key.isPresent() && !SAFE_METHODS.contains(head.method());
        return atMostOnce || keyGiven ? RequestKind.AT_MOST_ONCE_CALL : RequestKind.SERVICE_CALL;
    }

    /** Returns a path with escapes decoded and without empty and dot segments. */
    private static String normalizedPath(String path) {
        Deque<String> segments = new ArrayDeque<>();
        for (String segment : percentDecoded(path).split("/", -1)) {
            if (segment.equals("..")) {
                segments.pollLast();
            } else if (!segment.isEmpty() && !segment.equals(".")) {
                segments.addLast(segment);
            }
        }
        return "/" + String.join("/", segments);
    }

    private static String percentDecoded(String path) {
        try {
            return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw invalid("path \"" + path + "\" has a malformed escape");
        }
    }

    private static String workspace(HttpRequestHead head) {
        String name = head.header("Wagtailcart-Workspace").orElse("default");
        if (!name.matches(NAME_PATTERN)) {
            throw invalid("header Wagtailcart-Workspace is \"" + name + "\"; 1 to 128 letters, digits, '.', '_' and '-'"
                    + " are accepted");
        }
        return name;
    }

    private static Priority priority(
            HttpRequestHead head, String workspace, PoolDirectory pools, UpstreamKind kind, String pool) {
        return head.header("Wagtailcart-Priority")
                .or(() -> pools.setting(workspace, kind, pool, "priority"))
                .map(Priority::parse)
                .orElse(Priority.NORMAL);
    }

    private static long deadline(
            HttpRequestHead head,
            String workspace,
            PoolDirectory pools,
            UpstreamKind kind,
            String pool,
            long nowMillis) {
        long millis = head.header("Wagtailcart-Deadline-Millis")
                .or(() -> pools.setting(workspace, kind, pool, "deadline-millis"))
                .map(RequestClassifier::deadlineMillis)
                .orElse(DEFAULT_DEADLINE_MILLIS);
        return nowMillis + millis;
    }

    private static long deadlineMillis(String text) {
        try {
            long millis = Long.parseLong(text.strip());
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            throw deadlineInvalid(text);
        }
        throw deadlineInvalid(text);
    }

    private static WagtailcartException deadlineInvalid(String text) {
        return invalid(
                "header Wagtailcart-Deadline-Millis is \"" + text + "\"; 1 to " + MAX_DEADLINE_MILLIS + " is accepted");
    }

    private static WagtailcartException invalid(String text) {
        return new WagtailcartException(ResultCode.INVALID_ARGUMENT, text);
    }
}

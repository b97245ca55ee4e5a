package org.wagtailcart.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.HeaderLines;
import org.wagtailcart.gateway.protocol.KvCacheHandle;
import org.wagtailcart.gateway.protocol.Prompt;
import org.wagtailcart.gateway.protocol.RequestMetadata;
import org.wagtailcart.gateway.protocol.RequestProtocol;
import org.wagtailcart.gateway.protocol.ResponseMetadata;
import org.wagtailcart.gateway.protocol.UpstreamAnnouncement;
import org.wagtailcart.gateway.protocol.UpstreamRequestOptions;
import org.wagtailcart.policy.placement.PrefixCacheEstimate;
import org.wagtailcart.workspace.KeyVerdict;
import org.wagtailcart.workspace.PresentedKey;

/** Request protocol with short header names for tests. */
final class TestProtocol implements RequestProtocol {
    private volatile Runnable beforeParse = () -> {};
    private volatile Runnable beforeKey = () -> {};

    /** Sets an action that runs on the I/O thread before a request is parsed. */
    void beforeParse(Runnable action) {
        beforeParse = action;
    }

    /** Sets an action that runs on the I/O thread before a key is parsed, after the routing table was chosen. */
    void beforeKey(Runnable action) {
        beforeKey = action;
    }

    @Override
    public String readyPath() {
        return "/ready";
    }

    @Override
    public RequestMetadata parseRequest(List<String> headers) {
        beforeParse.run();
        @Nullable
        Prompt prompt = header(headers, "Prompt")
                .map(text -> new Prompt("m", Integer.parseInt(text), 10, segments(headers)))
                .orElse(null);
        OptionalLong callerTimeout = header(headers, "Allowed")
                .map(Long::parseLong)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
        return new RequestMetadata(
                header(headers, "Id").orElse(""),
                callerTimeout,
                prompt,
                header(headers, "After").orElse(""),
                header(headers, "Resumes").orElse(""));
    }

    private static List<PrefixCacheEstimate.Segment> segments(List<String> headers) {
        return Arrays.stream(header(headers, "Segments").orElse("own").split(",", -1))
                .map(id -> new PrefixCacheEstimate.Segment(id, 10))
                .toList();
    }

    @Override
    public List<String> upstreamHeaders(List<String> callerHeaders, UpstreamRequestOptions options) {
        List<String> lines = new ArrayList<>(callerHeaders);
        lines.addAll(List.of("Instance", options.instanceId()));
        lines.addAll(List.of("Left", Long.toString(options.remainingMillis())));
        if (options.prefillOnly()) {
            lines.addAll(List.of("Only-Prompt", "1"));
        }
        KvCacheHandle handle = options.kvCacheHandle();
        if (handle != null) {
            lines.addAll(List.of("Source", handle.engine() + "/" + handle.handle()));
        }
        if (options.priority() >= 0) {
            lines.addAll(List.of("Rank", Integer.toString(options.priority())));
        }
        if (!options.workspace().isEmpty()) {
            lines.addAll(List.of("Workspace", options.workspace()));
        }
        if (!options.lastEventId().isEmpty()) {
            lines.addAll(List.of("After", options.lastEventId()));
        }
        return lines;
    }

    @Override
    public PresentedKey parseKey(List<String> headers) {
        beforeKey.run();
        return header(headers, "Key").map(PresentedKey::of).orElseGet(() -> PresentedKey.faulty(KeyVerdict.MISSING));
    }

    @Override
    public List<String> withoutCredentials(List<String> callerHeaders) {
        return HeaderLines.filterByName(
                callerHeaders, name -> !name.equalsIgnoreCase("Key") && !name.equalsIgnoreCase("Workspace"));
    }

    @Override
    public List<String> keyRefusalHeaders() {
        return List.of("Challenge", "key");
    }

    @Override
    public ResponseMetadata parseResponse(int status, List<String> headers) {
        return new ResponseMetadata(
                status,
                header(headers, "Id").orElse(""),
                header(headers, "Stamp").isPresent(),
                status == 421 || header(headers, "Not-Run").isPresent(),
                status == 421,
                new UpstreamAnnouncement(
                        header(headers, "Leaving").isPresent(),
                        header(headers, "Retry-After").filter(value -> status == 503)));
    }

    @Override
    public KvCacheHandle parseKvCacheHandle(Address engine, byte[] body) {
        return new KvCacheHandle(engine, new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public String releasePath(KvCacheHandle handle) {
        return "/release/" + handle.handle();
    }

    private static Optional<String> header(List<String> lines, String name) {
        return HeaderLines.first(lines, name);
    }
}

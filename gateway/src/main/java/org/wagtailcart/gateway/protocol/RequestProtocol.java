package org.wagtailcart.gateway.protocol;

import java.util.List;
import org.wagtailcart.common.Address;
import org.wagtailcart.workspace.PresentedKey;

/** Codec for the headers and bodies that are exchanged with callers and upstreams. Contains no routing decisions. */
public interface RequestProtocol {
    /** Returns the path of the load balancer's readiness probe. */
    String readyPath();

    /** Parses the header lines of a caller's request, names and values alternating. */
    RequestMetadata parseRequest(List<String> headers);

    /**
     * Returns the header lines of a request to an upstream: those of the caller without this system's own headers,
     * followed by the encoded options.
     */
    List<String> upstreamHeaders(List<String> callerHeaders, UpstreamRequestOptions options);

    /** Parses the API key of a caller's request from its header lines. */
    PresentedKey parseKey(List<String> headers);

    /** Returns the header lines of a caller without its API key and the workspace that it claims. */
    List<String> withoutCredentials(List<String> callerHeaders);

    /** Returns the header lines of the response to a request whose API key is refused. */
    List<String> keyRefusalHeaders();

    /** Parses the status and header lines of a response. */
    ResponseMetadata parseResponse(int status, List<String> headers);

    /**
     * Parses the response to a prefill-only request.
     *
     * @throws org.wagtailcart.common.WagtailcartException if the body cannot be parsed
     */
    KvCacheHandle parseKvCacheHandle(Address engine, byte[] body);

    /** Returns the path to which a DELETE request is sent to free a KV cache that no engine will fetch. */
    String releasePath(KvCacheHandle handle);
}

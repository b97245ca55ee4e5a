package org.wagtailcart.gateway.protocol;

import java.util.List;
import org.wagtailcart.common.Address;

/** Names and formats of requests towards upstreams. Decides nothing. */
public interface RequestProtocol {
    /** Returns the path at which a load balancer asks whether the gateway is ready. */
    String readyPath();

    /** Reads the header lines of a caller, name and value alternating. */
    RequestMetadata parseRequest(List<String> headers);

    /** Returns the header lines for an upstream: those of the caller without the system's own, and the instructions. */
    List<String> upstreamHeaders(List<String> callerHeaders, UpstreamRequestOptions instructions);

    /** Reads status and header lines of an answer. */
    ResponseMetadata parseResponse(int status, List<String> headers);

    /**
     * Reads the answer to a request that only read the prompt.
     *
     * @throws org.wagtailcart.common.WagtailcartException when it is not understandable
     */
    KvCacheHandle parseKvCacheHandle(Address engine, byte[] body);

    /** Returns the path whose deletion frees a KV cache that nobody will take. */
    String releasePath(KvCacheHandle source);
}

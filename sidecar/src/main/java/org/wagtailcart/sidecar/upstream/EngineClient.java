package org.wagtailcart.sidecar.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.wagtailcart.common.Address;
import org.wagtailcart.common.EngineRole;
import org.wagtailcart.common.EngineTarget;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.sidecar.order.EngineState;
import org.wagtailcart.sidecar.order.SendResult;
import org.wagtailcart.upstream.ResponseBuffer;
import org.wagtailcart.upstream.SendGuard;

/** HTTP client for the management interface of engines. Methods block the calling thread, bounded by the timeouts. */
public final class EngineClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final long MAX_BODY_BYTES = 1L << 20;
    private static final long MAX_TOTAL_BODY_BYTES = 8L << 20;
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .build();

    private record StateBody(
            @JsonProperty("role") String role,
            @JsonProperty("model") String model,
            @JsonProperty("adapter") String adapter,
            @JsonProperty("version") String version,
            @JsonProperty("fencing_token") long fencingToken,
            @JsonProperty("changing") boolean changing) {
        EngineState toState() {
            return new EngineState(
                    new EngineTarget(EngineRole.parse(role), model, adapter, version), fencingToken, changing);
        }
    }

    private record OrderBody(
            @JsonProperty("fencing_token") long fencingToken,
            @JsonProperty("role") String role,
            @JsonProperty("model") String model,
            @JsonProperty("adapter") String adapter,
            @JsonProperty("version") String version) {}

    private final UpstreamClient client;
    private final ResponseBuffer buffer = new ResponseBuffer(MAX_BODY_BYTES, MAX_TOTAL_BODY_BYTES);

    /** Creates a client with the connections and timeouts of the given one. */
    public EngineClient(UpstreamClient client) {
        this.client = client;
    }

    /**
     * Returns the state of an engine.
     *
     * @throws WagtailcartException if the engine sends no valid response
     */
    public EngineState state(Address engine) {
        return get(engine, "/engine/state", StateBody.class).toState();
    }

    /**
     * Returns the load of an engine.
     *
     * @throws WagtailcartException if the engine sends no valid response
     */
    public EngineLoad load(Address engine) {
        return get(engine, "/engine/load", EngineLoad.class);
    }

    /**
     * Sends an order to an engine.
     *
     * @param sendDeadlineMillis monotonic time after which the order is no longer written
     */
    public SendResult sendOrder(Address engine, long orderNumber, EngineTarget target, long sendDeadlineMillis) {
        SendGuard guard = new SendGuard(sendDeadlineMillis);
        OrderBody order = new OrderBody(
                orderNumber, target.role().settingName(), target.model(), target.adapter(), target.version());
        Request request = new Request.Builder()
                .url("http://" + engine + "/engine/orders")
                .tag(SendGuard.class, guard)
                .post(RequestBody.create(write(order), JSON))
                .build();
        try (Response response = client.http().newCall(request).execute()) {
            return resultOf(response.code());
        } catch (IOException e) {
            return guard.sent() ? SendResult.LOST : SendResult.NOT_SENT;
        }
    }

    private static SendResult resultOf(int status) {
        return switch (status / 100) {
            case 2 -> SendResult.ACCEPTED;
            case 4 -> SendResult.REFUSED;
            // An engine may have accepted the order before it failed.
            default -> SendResult.LOST;
        };
    }

    /** Cancels a request at an engine. An engine that does not respond is down or no longer has the request. */
    public void cancel(Address engine, String requestId) {
        Request request = new Request.Builder()
                .url("http://" + engine + "/v1/requests/" + requestId)
                .delete()
                .build();
        try {
            client.http().newCall(request).execute().close();
        } catch (IOException e) {
            // Nothing more can be done; the request's own connection is already closed.
        }
    }

    /** Returns whether an upstream accepts connections. */
    public boolean acceptsConnections(Address upstream) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(upstream.ip(), upstream.port()), (int)
                    client.options().connectTimeoutMillis());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private <T> T get(Address engine, String path, Class<T> type) {
        Request request = new Request.Builder().url("http://" + engine + path).build();
        try (Response response = client.http().newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new WagtailcartException(
                        ResultCode.UPSTREAM_FAILED, engine + path + " responded with status " + response.code());
            }
            T body = MAPPER.readValue(buffer.readAll(response.body().source()), type);
            if (body == null) {
                throw new WagtailcartException(
                        ResultCode.UPSTREAM_FAILED, engine + path + " responded with a null body");
            }
            return body;
        } catch (IOException e) {
            throw new WagtailcartException(ResultCode.UPSTREAM_FAILED, "no valid response from " + engine + path, e);
        }
    }

    private static byte[] write(Record body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new WagtailcartException(ResultCode.INTERNAL_ERROR, "cannot serialize " + body, e);
        }
    }
}

package org.wagtailcart.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.Proxy;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.HdrHistogram.Histogram;

/** Open-loop load generator: sends a planned load to entries at fixed times and verifies every response. */
public final class LoadGenerator {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final String DATA = "data: ";
    private static final String END_MARKER = "[DONE]";
    private static final long MAX_INTERVAL_MICROS = 3_600_000_000L;

    private record CompletionRequest(String model, String prompt, int maxTokens, boolean stream) {}

    private record KeyedBody(int number) {}

    private final LoadOptions options;
    private final LoadRecorder recorder = new LoadRecorder();
    private final OkHttpClient client;

    /** Creates a generator for one run. */
    public LoadGenerator(LoadOptions options) {
        this.options = options;
        client = new OkHttpClient.Builder()
                .proxy(Proxy.NO_PROXY)
                .retryOnConnectionFailure(false)
                .readTimeout(options.deadlineMillis(), TimeUnit.MILLISECONDS)
                .build();
    }

    /** Sends all requests of the load and returns the result once every one has ended. */
    public LoadResult run() throws InterruptedException {
        List<PlannedRequest> plan = LoadPlan.generate(options);
        ExecutorService callers = Executors.newCachedThreadPool();
        ScheduledExecutorService arrivals = Executors.newSingleThreadScheduledExecutor();
        CountDownLatch open = new CountDownLatch(plan.size());
        try {
            schedule(plan, arrivals, callers, open);
            open.await();
        } finally {
            arrivals.shutdownNow();
            callers.shutdownNow();
        }
        return recorder.result(options, plan.size());
    }

    // The futures only cover the hand-off of an arrival to a caller thread; the latch counts the requests themselves.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void schedule(
            List<PlannedRequest> plan,
            ScheduledExecutorService arrivals,
            ExecutorService callers,
            CountDownLatch open) {
        long startNanos = System.nanoTime();
        plan.forEach(request -> arrivals.schedule(
                () -> callers.execute(() -> send(request, startNanos, open)),
                request.atMillis(),
                TimeUnit.MILLISECONDS));
    }

    private void send(PlannedRequest planned, long startNanos, CountDownLatch open) {
        try (Response response = client.newCall(request(planned)).execute()) {
            if (!response.isSuccessful()) {
                recorder.recordFailure("refused with result code " + response.header("Wagtailcart-Result-Code", "none")
                        + " and status " + response.code());
            } else if (planned.requestClass() == RequestClass.KEYED) {
                verifyKeyed(planned, response);
            } else {
                // Measured from the planned arrival, so that delays inside the generator count as well.
                verifyStream(planned, response, startNanos + TimeUnit.MILLISECONDS.toNanos(planned.atMillis()));
            }
        } catch (IOException e) {
            recorder.recordFailure("connection failed: " + e.getClass().getSimpleName());
        } catch (RuntimeException e) {
            recorder.recordFailure("malformed response: " + e.getClass().getSimpleName());
        } finally {
            open.countDown();
        }
    }

    private String idempotencyKey(PlannedRequest planned) {
        return "load-" + options.seed() + "-" + planned.number();
    }

    private Request request(PlannedRequest planned) {
        Request.Builder builder = new Request.Builder()
                .header("Wagtailcart-Workspace", options.workspace())
                .header(
                        "Wagtailcart-Priority",
                        planned.requestClass().priority().settingName())
                .header("Wagtailcart-Deadline-Millis", Long.toString(options.deadlineMillis()));
        if (planned.requestClass() == RequestClass.KEYED) {
            return builder.url("http://" + planned.entry() + "/services/" + options.service() + options.servicePath())
                    .header("Idempotency-Key", idempotencyKey(planned))
                    .post(RequestBody.create(Json.write(new KeyedBody(planned.number())), JSON))
                    .build();
        }
        byte[] body =
                Json.write(new CompletionRequest(options.model(), planned.prompt(), planned.outputTokens(), true));
        return builder.url("http://" + planned.entry() + "/v1/completions")
                .post(RequestBody.create(body, JSON))
                .build();
    }

    private void verifyKeyed(PlannedRequest planned, Response response) throws IOException {
        StandinService.ServiceResponse answer =
                Json.read(response.body().bytes(), StandinService.ServiceResponse.class);
        String hash = StandinService.hashOf(Json.write(new KeyedBody(planned.number())));
        if (answer.key().equals(idempotencyKey(planned)) && answer.bodyHash().equals(hash)) {
            recorder.recordKeyed(answer.run());
        } else {
            recorder.recordFailure("response to another keyed call");
        }
    }

    private void verifyStream(PlannedRequest planned, Response response, long arrivalNanos) throws IOException {
        Histogram intervals = new Histogram(MAX_INTERVAL_MICROS, 3);
        StringBuilder text = new StringBuilder();
        long firstMicros = -1;
        long previousNanos = 0;
        boolean complete = false;
        BufferedSource source = response.body().source();
        for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
            complete = complete || line.equals(DATA + END_MARKER);
            String token = complete ? "" : tokenOf(line);
            if (token.isEmpty()) {
                continue;
            }
            long now = System.nanoTime();
            if (firstMicros < 0) {
                firstMicros = Math.max(0, (now - arrivalNanos) / 1000);
            } else {
                intervals.recordValue(Math.min(MAX_INTERVAL_MICROS, (now - previousNanos) / 1000));
            }
            previousNanos = now;
            text.append(token);
        }
        String expected = Tokens.text(planned.prompt(), 0, planned.outputTokens());
        if (!complete) {
            recorder.recordFailure("stream without end marker");
        } else if (!expected.contentEquals(text)) {
            recorder.recordFailure("stream with unexpected tokens");
        } else {
            recorder.recordStream(firstMicros, intervals, planned.outputTokens());
        }
    }

    private static String tokenOf(String line) {
        if (!line.startsWith(DATA)) {
            return "";
        }
        CompletionResponse event = Json.read(line.substring(DATA.length()).getBytes(UTF_8), CompletionResponse.class);
        // An event without choices is an error event; the stream then has no end marker.
        List<CompletionResponse.Choice> choices = event.choices();
        String text =
                choices == null || choices.isEmpty() ? null : choices.get(0).text();
        return text == null ? "" : text;
    }
}

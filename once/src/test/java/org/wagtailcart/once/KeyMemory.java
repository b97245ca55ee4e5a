package org.wagtailcart.once;

import java.util.List;
import java.util.logging.Logger;
import java.util.stream.IntStream;

/** Measures heap and snapshot size of completed keys at several counts. Run by hand; see docs/CAPACITY.md. */
public final class KeyMemory {
    private static final Logger LOG = Logger.getLogger(KeyMemory.class.getName());
    private static final int RESPONSE_BYTES = 128;

    private KeyMemory() {}

    /** Fills registries of increasing size and logs the bytes per key of each. */
    public static void main(String[] arguments) {
        IntStream.of(10_000, 50_000, 100_000, 200_000).forEach(KeyMemory::measure);
    }

    private static void measure(int count) {
        long before = usedBytes();
        IdempotencyKeyRegistry registry = new IdempotencyKeyRegistry();
        long startedNanos = System.nanoTime();
        IntStream.range(0, count).forEach(i -> {
            KeyId id = new KeyId("workspace-" + i % 1_000, "key-" + i);
            registry.apply(2L * i + 1, i, new ReserveKey(id, "fingerprint-" + i, "attempt-" + i, "stock-1", 1));
            RecordedResponse response = new RecordedResponse(
                    200, List.of("Content-Type", "application/json"), new byte[RESPONSE_BYTES], true);
            registry.apply(2L * i + 2, i, new CompleteKey(id, "attempt-" + i, response));
        });
        long nanos = System.nanoTime() - startedNanos;
        long used = usedBytes() - before;
        long snapshot = registry.snapshot().length;
        LOG.warning(() -> "keys " + count + ", heap bytes each " + used / count + ", snapshot bytes each "
                + snapshot / count + ", ns each command " + nanos / (2L * count));
    }

    private static long usedBytes() {
        IntStream.range(0, 4).forEach(i -> System.gc());
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

package org.wagtailcart.workspace.measure;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.wagtailcart.workspace.KeyDigest;
import org.wagtailcart.workspace.PresentedKey;
import org.wagtailcart.workspace.RevocationPolicy;
import org.wagtailcart.workspace.Workspace;
import org.wagtailcart.workspace.WorkspaceAuthenticator;
import org.wagtailcart.workspace.WorkspaceTable;

/**
 * Benchmark of the check of API keys at several workspace counts. Writes the rows of one table to the standard output:
 * workspaces, keys of each, time to make all digests, time to build the index, memory of the table and of the index, and
 * time of a check of a valid and of an unknown key.
 */
public final class KeyLookupCost {
    private static final int LOOKUPS = 1_000_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    private KeyLookupCost() {}

    /** Measures the usual and the worst-case load. */
    public static void main(String[] arguments) {
        String warmUp = measure(80, 2); // warms up the JIT compiler
        System.out.println(
                "workspaces | keys each | digests ms | index ms | table MB | index MB | valid ns | unknown ns");
        System.out.println(measure(80, 2));
        System.out.println(measure(1_000, 100));
        System.out.println(measure(10_000, 100));
        if (warmUp.isEmpty()) {
            throw new IllegalStateException("no measurement");
        }
    }

    private static String key(int workspace, int number) {
        return "key-" + workspace + "-" + number + "-26tta828";
    }

    private static String measure(int workspaces, int keys) {
        byte[] salt = KeyDigest.newSalt();
        long emptyBytes = usedBytes();
        long startNanos = System.nanoTime();
        WorkspaceTable table = new WorkspaceTable(
                salt,
                IntStream.range(0, workspaces)
                        .mapToObj(w -> new Workspace("w" + w, digests(salt, w, keys), null))
                        .toList());
        long digestedNanos = System.nanoTime();
        long tableBytes = usedBytes();
        long beforeIndexNanos = System.nanoTime();
        WorkspaceAuthenticator authenticator = new WorkspaceAuthenticator(table);
        long indexedNanos = System.nanoTime();
        long indexBytes = usedBytes();
        double validNanos = lookupNanos(authenticator, workspaces, 0, keys, true);
        double unknownNanos = lookupNanos(authenticator, workspaces, keys, keys, false);
        return String.format(
                Locale.ROOT,
                "%d | %d | %.1f | %.1f | %.2f | %.2f | %.0f | %.0f",
                authenticator.workspaces().size(),
                keys,
                (digestedNanos - startNanos) / NANOS_PER_MILLI,
                (indexedNanos - beforeIndexNanos) / NANOS_PER_MILLI,
                (tableBytes - emptyBytes) / BYTES_PER_MEGABYTE,
                (indexBytes - tableBytes) / BYTES_PER_MEGABYTE,
                validNanos,
                unknownNanos);
    }

    private static List<String> digests(byte[] salt, int workspace, int keys) {
        return IntStream.range(0, keys)
                .mapToObj(number -> KeyDigest.of(salt, key(workspace, number)))
                .toList();
    }

    private static double lookupNanos(
            WorkspaceAuthenticator authenticator, int workspaces, int firstKey, int keys, boolean valid) {
        // Keys of all parts of the table, so that processor caches hold no more of it than under traffic.
        List<PresentedKey> presented = IntStream.range(0, 50_000)
                .mapToObj(i -> PresentedKey.of(key((int) (i * 7_919L % workspaces), firstKey + i % keys)))
                .toList();
        long startNanos = System.nanoTime();
        long found = IntStream.range(0, LOOKUPS)
                .filter(i -> authenticator
                        .decide(presented.get(i % presented.size()), true, 0, RevocationPolicy.LENIENT)
                        .workspace()
                        .isPresent())
                .count();
        long nanos = System.nanoTime() - startNanos;
        if (found != (valid ? LOOKUPS : 0)) {
            throw new IllegalStateException(found + " of " + LOOKUPS + " keys were found");
        }
        return (double) nanos / LOOKUPS;
    }

    private static long usedBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

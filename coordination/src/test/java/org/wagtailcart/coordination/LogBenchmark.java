package org.wagtailcart.coordination;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.wagtailcart.common.Address;
import org.wagtailcart.testing.TestAddresses;
import org.wagtailcart.wire.MessageCodec;

/** Measures proposals per second, latency, CPU and bytes over loopback; see docs/measurements/coordination.md. */
public final class LogBenchmark {
    private static final int COMMAND_BYTES = 256;

    private LogBenchmark() {}

    /** Runs all cases; the arguments are a data folder and the seconds for each case. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        long seconds = Long.parseLong(arguments[1]);
        System.out.println(
                "| members | concurrency | proposals/s | p50 ms | p99 ms | CPU us/proposal | proposals/sync |");
        System.out.println("|---|---|---|---|---|---|---|");
        for (int members : new int[] {1, 3, 5}) {
            runCase(folder.resolve("g" + members), members, new int[] {1, 16, 256}, seconds);
        }
        System.out.println("| entries in a batch | append request bytes | log file bytes |");
        System.out.println("|---|---|---|");
        for (int entries : new int[] {1, 16, 256}) {
            System.out.println("| " + entries + " | " + requestBytes(entries) + " | "
                    + fileBytes(folder.resolve("size" + entries), entries) + " |");
        }
    }

    private static List<LogEntry> entries(int count) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(i ->
                        new LogEntry(i, 3, System.currentTimeMillis(), LogEntry.Kind.COMMAND, new byte[COMMAND_BYTES]))
                .toList();
    }

    private static int requestBytes(int count) {
        MemberKey key = new MemberKey("m1", Long.MAX_VALUE);
        Address address = new Address("127.0.0.1", 7_000);
        return new MessageCodec(List.of(RaftMessageTypes.TYPES))
                .encode(new RaftMessage.AppendRequest(
                        new RaftMessage.Envelope(key, address, key),
                        3,
                        1_000_000,
                        3,
                        entries(count),
                        1_000_000,
                        1_000_000,
                        new RaftMessage.Confirmation(
                                new RaftMessage.LocalTimestamp(Long.MAX_VALUE, 1_000_000), 1_000_000)))
                .length;
    }

    private static long fileBytes(Path folder, int count) throws IOException {
        try (RaftStorage storage = new RaftStorage(folder, "m1")) {
            long before = logBytes(folder);
            storage.write(List.of(new NodeOutput.StorageWrite(1, null, null, entries(count))));
            return logBytes(folder) - before;
        }
    }

    private static long logBytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    private static void runCase(Path folder, int count, int[] concurrencies, long seconds) throws Exception {
        List<InitialMember> initial = IntStream.rangeClosed(1, count)
                .mapToObj(i -> new InitialMember("m" + i, TestAddresses.free()))
                .toList();
        List<LoopbackMember> members = new ArrayList<>();
        for (InitialMember member : initial) {
            Path memberFolder = folder.resolve(member.memberId());
            Files.createDirectories(memberFolder);
            members.add(new LoopbackMember(
                    member, memberFolder, initial, RaftTuning.standard(), new CountingStateMachine()));
        }
        LoopbackMember leader = awaitLeader(members);
        for (int concurrency : concurrencies) {
            run(leader, concurrency, seconds); // Warm-up, so that the first cases do not include compilation.
            System.out.println("| " + count + " | " + concurrency + " | " + run(leader, concurrency, seconds) + " |");
        }
        members.forEach(LoopbackMember::close);
    }

    private static String run(LoopbackMember leader, int concurrency, long seconds) throws Exception {
        Semaphore slots = new Semaphore(concurrency);
        long[] latencies = new long[2_000_000];
        AtomicInteger done = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        long syncsBefore = leader.registry().timer("coordination.store").getCount();
        long cpuBefore = cpuNanos();
        long start = System.nanoTime();
        long end = start + TimeUnit.SECONDS.toNanos(seconds);
        while (System.nanoTime() < end) {
            slots.acquire();
            long proposed = System.nanoTime();
            leader.log.propose(new byte[COMMAND_BYTES]).whenComplete((result, error) -> {
                int index = error == null ? done.getAndIncrement() : failed.getAndIncrement();
                latencies[error == null ? index : latencies.length - 1] = System.nanoTime() - proposed;
                slots.release();
            });
        }
        slots.acquire(concurrency);
        double elapsed = (System.nanoTime() - start) / 1e9;
        long cpu = cpuNanos() - cpuBefore;
        long syncs = leader.registry().timer("coordination.store").getCount() - syncsBefore;
        long[] sorted = Arrays.copyOf(latencies, done.get());
        Arrays.sort(sorted);
        String failures = failed.get() == 0 ? "" : " (" + failed.get() + " failed)";
        return String.format(
                "%.0f%s | %.2f | %.2f | %.0f | %.1f",
                done.get() / elapsed,
                failures,
                sorted[sorted.length / 2] / 1e6,
                sorted[(int) (sorted.length * 0.99)] / 1e6,
                cpu / 1e3 / done.get(),
                (double) done.get() / syncs);
    }

    private static long cpuNanos() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }

    private static LoopbackMember awaitLeader(List<LoopbackMember> members) {
        while (true) {
            for (LoopbackMember member : members) {
                if (member.log.status().role() == RaftStatus.Role.LEADER) {
                    return member;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }

    private static final class CountingStateMachine implements StateMachine {
        private long count;

        @Override
        public Object apply(long index, long timeMillis, byte[] command) {
            count++;
            return count;
        }

        @Override
        public byte[] snapshot() {
            return java.nio.ByteBuffer.allocate(Long.BYTES).putLong(count).array();
        }

        @Override
        public void restore(byte[] snapshot) {
            count = java.nio.ByteBuffer.wrap(snapshot).getLong();
        }
    }
}

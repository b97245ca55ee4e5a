package org.wagtailcart.cli;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the merging of log files by the explain command. */
class ExplainCommandTest {
    private static final String SENT = "{\"time\":\"2026-06-03T16:54:35.031Z\",\"level\":\"INFO\","
            + "\"event\":\"request-sent\",\"request\":\"r-1\",\"step\":\"call\",\"upstream\":\"i-1\"}\n";
    private static final String ENDED = "{\"time\":\"2026-06-03T16:54:35.400Z\",\"level\":\"INFO\","
            + "\"event\":\"request-ended\",\"request\":\"r-1\",\"code\":6011}\n";
    private static final String OTHER = SENT.replace("r-1", "r-2");
    private static final String LOST = "{\"time\":\"2026-06-03T16:54:34.000Z\",\"level\":\"WARNING\","
            + "\"event\":\"upstream-lost\",\"upstream\":\"i-7\"}\n";
    private static final String OUTSIDE_WINDOW =
            LOST.replace(":34.000Z", ":04.000Z").replace("i-7", "i-8");

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    private ExitCode run(String... arguments) {
        return new Wagtailcart(new Console(new PrintStream(out, true), new PrintStream(err, true))).run(arguments);
    }

    /**
     * Guards against an output that lacks a state event shortly before the request, contains an older one or another
     * request, has the wrong process or order, and against a failure on lines that are not events.
     */
    @Test
    void mergesRequestLinesWithEarlierStateEvents() throws IOException {
        Path one = folder.resolve("g1.log");
        Path two = folder.resolve("g2.log");
        Files.writeString(one, OUTSIDE_WINDOW + LOST + OTHER + "not an event\n{\"truncated\n" + ENDED);
        Files.writeString(two, "  12.5 front-1 " + SENT);
        assertThat(run("explain", "r-1", one.toString(), two.toString())).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().toList())
                .containsExactly(
                        "2026-06-03T16:54:34.000Z g1.log upstream-lost upstream=i-7",
                        "2026-06-03T16:54:35.031Z front-1 request-sent step=call upstream=i-1",
                        "2026-06-03T16:54:35.400Z g1.log request-ended code=6011")
                .inOrder();
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("skipped 2 lines that are not JSON log events");
    }

    /** Guards against an explanation that does not tell the workspace, or the table by which a key was refused. */
    @Test
    void tellsTheWorkspaceAndTheTableThatRefusedAKey() throws IOException {
        Path file = folder.resolve("g1.log");
        Files.writeString(
                file,
                ENDED.replace("\"code\":6011", "\"workspace\":\"hule\",\"code\":0")
                        + ENDED.replace("r-1", "r-2")
                                .replace("\"code\":6011", "\"workspace\":\"\",\"code\":1006,\"table-version\":7"));
        assertThat(run("explain", "r-1", file.toString())).isEqualTo(ExitCode.OK);
        assertThat(run("explain", "r-2", file.toString())).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).lines().toList())
                .containsExactly(
                        "2026-06-03T16:54:35.400Z g1.log request-ended workspace=hule code=0",
                        "2026-06-03T16:54:35.400Z g1.log request-ended workspace=\"\" code=1006 table-version=7")
                .inOrder();
    }

    /** Guards against a wrong exit code for an unknown request, a missing argument or an unreadable file. */
    @Test
    void reportsUnknownRequest() throws IOException {
        Path file = folder.resolve("g1.log");
        Files.writeString(file, OTHER);
        assertThat(run("explain", "r-1", file.toString())).isEqualTo(ExitCode.REFUSED);
        assertThat(run("explain", "r-1")).isEqualTo(ExitCode.USAGE);
        assertThat(run("explain", "r-1", folder.resolve("none").toString())).isEqualTo(ExitCode.INVALID_FILE);
    }
}

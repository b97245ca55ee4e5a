package org.wagtailcart.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.LogEvent;
import org.wagtailcart.common.LogEventKind;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;
import org.wagtailcart.settings.process.ProcessSettings;

/** Main class of the program {@code wagtailcartd}. */
public final class Main {
    // The first field, because SIGHUP ends the process until the handler is installed.
    private static final HangupSignal HANGUP = HangupSignal.install();

    static {
        // The class is given by name: a reference to it would initialize the JDK's log manager before the property is
        // set.
        System.setProperty("java.util.logging.manager", "org.wagtailcart.daemon.ShutdownLogManager");
    }

    private static final Logger LOG = System.getLogger(Main.class.getName());
    /** Environment variable with the path of the settings file, used when {@code --settings} is absent. */
    private static final String SETTINGS_FILE_VARIABLE = "WAGTAILCART_NODE_FILE";

    private static final int EXIT_START_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--settings", description = "Settings file of this process (INI)")
    private @Nullable String settingsFile = System.getenv(SETTINGS_FILE_VARIABLE);

    @Parameter(names = "--check", description = "Validate the settings file and exit")
    private boolean checkOnly;

    @Parameter(
            names = "--exit-after-millis",
            description = "Exit after this time; used to record a class-data sharing archive")
    private long exitAfterMillis;

    @Parameter(names = "--help", help = true, description = "Print this help and exit")
    private boolean help;

    private Main() {}

    /** Runs the daemon until SIGTERM. Exit codes: 0 normal stop, 1 start failure, 2 wrong usage or invalid settings. */
    public static void main(String[] arguments) throws InterruptedException {
        Main main = new Main();
        JCommander parser = JCommander.newBuilder()
                .programName("wagtailcartd")
                .addObject(main)
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            LOG.log(Level.ERROR, LogEvent.of("wrong-usage", "text", e.getMessage()));
            System.exit(EXIT_USAGE);
        }
        if (main.help) {
            parser.usage();
            return;
        }
        System.exit(main.run());
    }

    private int run() throws InterruptedException {
        ProcessSettings settings;
        try {
            settings = readSettings(String.valueOf(settingsFile));
        } catch (WagtailcartException e) {
            logFailure("settings-refused", e);
            return EXIT_USAGE;
        }
        MetricRegistry registry = new MetricRegistry();
        LogSetup.install(
                settings.logLevel(), LogFormat.valueOf(settings.logFormat().name()), registry);
        ShutdownLogManager.keepHandlers();
        if (checkOnly) {
            LOG.log(Level.INFO, LogEvent.of("settings-valid", "file", settingsFile));
            return 0;
        }
        Daemon daemon =
                DaggerDaemonComponent.factory().create(settings, registry).daemon();
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::shutDown, "shutdown"));
        try {
            daemon.start();
        } catch (WagtailcartException e) {
            logFailure("start-failed", e);
            return EXIT_START_FAILED;
        }
        HANGUP.onHangup(() -> reload(daemon));
        if (exitAfterMillis > 0) {
            TimeUnit.MILLISECONDS.sleep(exitAfterMillis);
            return 0;
        }
        daemon.awaitStop();
        return 0;
    }

    /** Applies the settings that may change at run time; a file that is unreadable or invalid changes nothing. */
    private void reload(Daemon daemon) {
        try {
            ProcessSettings latest = readSettings(String.valueOf(settingsFile));
            daemon.reload(latest);
            LogEventKind.SETTINGS_RELOADED.log(
                    LOG, Level.INFO, settingsFile, latest.discovery().seeds());
        } catch (WagtailcartException e) {
            logFailure("settings-refused", e);
        }
    }

    private static ProcessSettings readSettings(String file) {
        try {
            return ProcessSettings.parse(Files.readString(Path.of(file)), System.getenv());
        } catch (IOException e) {
            throw new WagtailcartException(
                    ResultCode.INVALID_SETTINGS_FILE, "settings file \"" + file + "\" cannot be read", e);
        }
    }

    private static void logFailure(String event, WagtailcartException e) {
        LOG.log(Level.ERROR, LogEvent.of(event, "code", e.code().number(), "text", e.getMessage()));
    }
}

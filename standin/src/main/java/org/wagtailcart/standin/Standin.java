package org.wagtailcart.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.wagtailcart.common.WagtailcartException;

/** Main program of the stand-in servers and the load generator. */
public final class Standin {
    private static final int USAGE_STATUS = 2;

    private Standin() {}

    /** Runs one subcommand: a server until the process is stopped, the load generator until its load has ended. */
    public static void main(String[] arguments) throws InterruptedException {
        Map<String, Command> commands = Command.all();
        JCommander.Builder builder = JCommander.newBuilder().programName("standin");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(arguments);
        } catch (ParameterException | WagtailcartException e) {
            Console.error(String.valueOf(e.getMessage()));
            System.exit(USAGE_STATUS);
        }
        Command command = commands.get(String.valueOf(parser.getParsedCommand()));
        if (command == null) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            Console.error(usage.toString());
            System.exit(USAGE_STATUS);
            return;
        }
        command.run();
        if (command.serves()) {
            new CountDownLatch(1).await();
        }
    }
}

package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Options that precede the command name. */
final class GlobalOptions {
    @Parameter(names = "--server", description = "IP:PORT of a control member's operator listener; may be repeated")
    List<String> servers = new ArrayList<>(List.of("127.0.0.1:7300"));

    @Parameter(names = "--token-file", description = "File with the operators' bearer token")
    String tokenFile = "operator.token";

    @Parameter(names = "--operator", description = "Operator name recorded in the history")
    String operator = System.getProperty("user.name", "operator");

    @Parameter(names = "--json", description = "Prints the server's JSON response instead of text")
    boolean json;

    @Parameter(names = "--help", help = true, description = "Shows all commands")
    boolean help;
}

package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;

/** A sub-command that changes something under a change id, so that it can be repeated after a lost response. */
abstract class ChangeCommand extends CliCommand {
    @Parameter(names = "--change-id", description = "Id of the change; repeat a change with the id of its first try")
    private String changeId = "";

    String changeId(CommandContext session) {
        return session.changeIdOrNew(changeId);
    }
}

package org.wagtailcart.cli;

import com.beust.jcommander.Parameter;

/** A sub-command that makes a change under a change id, so that it can be repeated safely after a lost response. */
abstract class ChangeCommand extends CliCommand {
    @Parameter(
            names = "--change-id",
            description = "Id of the change; pass the id of the first attempt to repeat a change")
    private String changeId = "";

    String changeId(CommandContext context) {
        return context.changeIdOrNew(changeId);
    }
}

package org.wagtailcart.control;

import java.util.List;
import org.wagtailcart.control.client.SyncRequest;
import org.wagtailcart.wire.MessageCodec;

/** Answers syncs for tests in other packages. */
public final class SyncAnswersAccess {
    private final SyncAnswers answers;

    public SyncAnswersAccess(MessageCodec codec) {
        answers = new SyncAnswers(codec);
    }

    public Record answer(SyncRequest request, PublishedState state) {
        return answers.answer(request, state, 0, List.of(), "", 1);
    }
}

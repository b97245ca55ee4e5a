package org.wagtailcart.workspace;

/**
 * Policy of a gateway that is out of contact, and so does not learn that a key was withdrawn.
 *
 * @param strict whether keys are refused when the table is unconfirmed for too long; otherwise the last table holds
 * @param limitMillis time without a confirmation after which a strict gateway refuses
 */
public record RevocationPolicy(boolean strict, long limitMillis) {
    /** Keys of the last table are accepted for any time. */
    public static final RevocationPolicy LENIENT = new RevocationPolicy(false, 5_000);

    /** Returns whether keys of a table that was confirmed some time ago are refused. */
    public boolean refuses(long tableAgeMillis) {
        return strict && tableAgeMillis >= limitMillis;
    }
}

package org.wagtailcart.workspace;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.wagtailcart.common.ResultCode;

/** Verdict on the API key of a request. Its text contains nothing that the caller has sent. */
public enum KeyVerdict {
    /** The key belongs to a workspace. */
    ACCEPTED(null, "the key is valid"),
    /** The request has no key. */
    MISSING(ResultCode.API_KEY_REFUSED, "the request has no API key"),
    /** The request has several keys. */
    REPEATED(ResultCode.API_KEY_REFUSED, "the request has more than one API key"),
    /** The request is authenticated otherwise than by a bearer key. */
    OTHER_SCHEME(ResultCode.API_KEY_REFUSED, "the authentication scheme is not Bearer"),
    /** The key is empty or has characters that no key may have. */
    MALFORMED(ResultCode.API_KEY_REFUSED, "the API key is malformed"),
    /** The key is longer than any key may be. */
    TOO_LONG(ResultCode.API_KEY_REFUSED, "the API key is too long"),
    /** No workspace has the key. */
    UNKNOWN(ResultCode.API_KEY_REFUSED, "the API key belongs to no workspace"),
    /** The key is not in a table that may be outdated, so that the key may have been added since. */
    UNCONFIRMED(ResultCode.ROUTES_UNCONFIRMED, "no table with the API key was confirmed by a quorum recently"),
    /** The table is too old for any key, because one may have been withdrawn since. */
    OUTDATED(ResultCode.ROUTES_UNCONFIRMED, "no quorum has confirmed the API keys within the limit for withdrawn keys");

    private final @Nullable ResultCode refusal;
    private final String text;

    KeyVerdict(@Nullable ResultCode refusal, String text) {
        this.refusal = refusal;
        this.text = text;
    }

    /** Returns the code with which the request is refused, empty if it is not. */
    public Optional<ResultCode> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns the reason for people. */
    public String text() {
        return text;
    }
}

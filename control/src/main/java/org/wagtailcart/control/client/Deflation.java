package org.wagtailcart.control.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import org.wagtailcart.common.ResultCode;
import org.wagtailcart.common.WagtailcartException;

/** Deflate codec for the bodies of large sync replies. */
public final class Deflation {
    // Ten times the full tree at the target size; a larger declared size means a damaged or hostile frame.
    private static final int MAX_INFLATED_BYTES = 64 << 20;

    private Deflation() {}

    /** Returns the deflated bytes. */
    public static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream deflated = new ByteArrayOutputStream(bytes.length / 8 + 64);
        try (DeflaterOutputStream out = new DeflaterOutputStream(deflated, deflater)) {
            out.write(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
        return deflated.toByteArray();
    }

    /**
     * Returns the inflated bytes.
     *
     * @throws WagtailcartException with {@link ResultCode#FRAME_MALFORMED} when the data is damaged or does not inflate
     *     to {@code sizeBytes}
     */
    public static byte[] inflate(byte[] deflated, int sizeBytes) {
        if (sizeBytes < 0 || sizeBytes > MAX_INFLATED_BYTES) {
            throw malformed("declared size " + sizeBytes + " is outside the range 0 to " + MAX_INFLATED_BYTES);
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            byte[] bytes = new byte[sizeBytes];
            int inflatedLength = 0;
            while (inflatedLength < sizeBytes && !inflater.finished() && !inflater.needsInput()) {
                inflatedLength += inflater.inflate(bytes, inflatedLength, sizeBytes - inflatedLength);
            }
            if (inflatedLength != sizeBytes) {
                throw malformed("inflated " + inflatedLength + " of " + sizeBytes + " bytes");
            }
            return bytes;
        } catch (DataFormatException e) {
            throw malformed(String.valueOf(e.getMessage()));
        } finally {
            inflater.end();
        }
    }

    private static WagtailcartException malformed(String reason) {
        return new WagtailcartException(ResultCode.FRAME_MALFORMED, "deflated body cannot be decoded: " + reason);
    }
}

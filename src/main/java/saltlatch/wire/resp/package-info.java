/**
 * RESP2, the framing that clients and app servers share: bytes to values and back, and the decimal
 * numbers within them. Knows nothing of what the values mean. May import {@code saltlatch.wire}.
 * Called by the codecs of partners, and by the laboratory's stand-ins, each on its own event loop.
 * A {@link saltlatch.wire.resp.RespDecoder} belongs to one connection.
 */
package saltlatch.wire.resp;

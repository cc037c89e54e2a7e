/**
 * RESP2, the framing that clients and app servers share: encodes and decodes values and the decimal
 * numbers within them, independently of what the values mean. May import {@code saltlatch.wire}.
 * Called by the partners' codecs and by the lab's emulated partners, each on one event loop. A
 * {@link saltlatch.wire.resp.RespDecoder} belongs to one connection.
 */
package saltlatch.wire.resp;

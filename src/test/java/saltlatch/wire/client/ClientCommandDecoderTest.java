package saltlatch.wire.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import saltlatch.state.ClientRequest;
import saltlatch.wire.MalformedMessageException;
import saltlatch.wire.ProtocolException;
import saltlatch.wire.resp.RespText;

/** Tests decoding clients' commands into requests. */
class ClientCommandDecoderTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private static final String ID = "9b1f03aa5c7e2d41";

  private static ClientRequest decode(String... words) throws ProtocolException {
    return ClientCommandDecoder.decode(RespText.commandWords(words));
  }

  @Test
  void decodesEveryTerm() throws ProtocolException {
    String terms = "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,r=1,units=2.5,spread=3,first=1,new=x";
    ClientRequest request = decode("SVC.SUBMIT", CUSTOMER, ID, terms, "BODY");
    assertEquals("3033945377 order team 480 2.5 3 1 true",
        request.customer() + " " + request.requestClass() + " " + request.plan() + " "
            + request.clientTimeoutMs() + " " + request.units() + " " + request.nodeCount() + " "
            + request.firstNode() + " " + request.retry());
    assertEquals(ID + " false true",
        request.id() + " " + request.query() + " " + request.hasIdempotencyKey());
  }

  @Test
  void missingTermsGetDefaults() throws ProtocolException {
    ClientRequest request = decode("SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=9,k=,r=0,");
    assertEquals("1.0 0 0 false true false",
        request.units() + " " + request.nodeCount() + " " + request.firstNode() + " "
            + request.retry() + " " + request.query() + " " + request.hasIdempotencyKey());
  }

  /** A request's size, which counts towards the memory limit of requests, is its text's bytes. */
  @Test
  void sizeExcludesTheTimeout() throws ProtocolException {
    ClientRequest request = decode("SVC.SUBMIT", CUSTOMER, ID, "c=a,t=b,d=9000", "BODY");
    assertEquals(10 + 16 + 16 + 10 + 4, request.sizeBytes());
  }

  @Test
  void rejectsMalformedCommands() throws ProtocolException {
    String[][] malformed = {{"SVC.QUERY", CUSTOMER, ID}, {"SVC.OTHER", CUSTOMER, ID, "c=a,t=b,d=1"},
        {"SVC.QUERY", "b4d65521", ID, "c=a,t=b,d=1"},
        {"SVC.QUERY", "00000000b4d6552x", ID, "c=a,t=b,d=1"},
        {"SVC.QUERY", "0000000200000000", ID, "c=a,t=b,d=1"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b"}, {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=x"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=-1"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=NaN"}, {"SVC.QUERY", CUSTOMER, ID, "c"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=1,units=2"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=+1"}, {"SVC.QUERY", CUSTOMER, "", "c=a,t=b,d=1"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=0"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=0x1p1"},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,spread=0"}};
    for (String[] words : malformed) {
      assertThrows(MalformedMessageException.class, () -> decode(words), String.join(" ", words));
    }
  }

  /** Each command exceeds one limit by one step; the last one is at all limits and is accepted. */
  @Test
  void rejectsValuesBeyondTheLimits() throws ProtocolException {
    String terms = "c=a,t=b,d=1";
    String[][] malformed = {{"SVC.QUERY", "+000000000000007", ID, terms},
        {"SVC.QUERY", "ffffffffffffffff", ID, terms},
        {"SVC.QUERY", CUSTOMER, "x".repeat(65), terms}, {"SVC.QUERY", CUSTOMER, ID, ""},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",x=" + "x".repeat(1024)},
        {"SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=2147483648"},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",units=1e9"},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",spread=1048576"},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",first=1048576"},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",first=-1"},
        {"SVC.QUERY", CUSTOMER, ID, terms + ",=x"}, {"SVC.QUERY", CUSTOMER, ID, terms + ",,x=y"},
        {"SVC.QUERY", CUSTOMER, ID, terms, "BODY", "more"}};
    for (String[] words : malformed) {
      assertThrows(MalformedMessageException.class, () -> decode(words), String.join(" ", words));
    }
    decode("SVC.QUERY", "00000001ffffffff", "x".repeat(64),
        "c=,t=,d=2147483647,units=999999999,spread=1048575,first=1048575", "");
  }

  /** The error messages contain the invalid word or term, the value found and the limit. */
  @Test
  void errorMessagesContainValueAndLimit() {
    assertEquals("customer: 8 characters (limit 16 hexadecimal digits)",
        errorMessage("SVC.QUERY", "b4d65521", ID, "c=a,t=b,d=1"));
    assertEquals("terms: term d is missing", errorMessage("SVC.QUERY", CUSTOMER, ID, "c=a,t=b"));
    assertEquals(
        "term units: expected a number in range, found \"0\""
            + " (limit over 0 and under 1e9 units)",
        errorMessage("SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1,units=0"));
    assertEquals("verb: expected SVC.QUERY or SVC.SUBMIT, found \"SVC.OTHER\"",
        errorMessage("SVC.OTHER", CUSTOMER, ID, "c=a,t=b,d=1"));
  }

  private static String errorMessage(String... words) {
    return assertThrows(MalformedMessageException.class, () -> decode(words)).getMessage();
  }
}

package saltlatch.wire.appserver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltlatch.wire.ProtocolException;
import saltlatch.wire.client.ClientCommandDecoder;
import saltlatch.wire.resp.RespText;

/** Tests the text of the commands that are sent to app servers. */
class AppServerCommandEncoderTest {
  private static final String CUSTOMER = "00000000b4d65521";
  private static final String ID = "9b1f03aa5c7e2d41";

  private static String forward(long timeLeftMs, String... words) throws ProtocolException {
    return AppServerCommandEncoder
        .forward(ClientCommandDecoder.decode(RespText.commandWords(words)).command(), timeLeftMs)
        .toString();
  }

  /** A command is forwarded unchanged except for the timeout. */
  @Test
  void forwardReplacesOnlyTheTimeout() throws ProtocolException {
    String terms = "c=order,t=team,d=480,k=5c0f6e1a2b3d4c59,r=1,units=2.5,spread=3,first=1,new=x";
    assertEquals(
        RespText.command("SVC.SUBMIT", CUSTOMER, ID, terms.replace("d=480", "d=97"), "BODY"),
        forward(97, "SVC.SUBMIT", CUSTOMER, ID, terms, "BODY"));
    assertEquals(RespText.command("SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=1"),
        forward(0, "SVC.QUERY", CUSTOMER, ID, "c=a,t=b,d=9"));
  }

  /** An empty body and a trailing comma in the terms are forwarded. */
  @Test
  void forwardKeepsEmptyBodyAndTrailingComma() throws ProtocolException {
    assertEquals(RespText.command("SVC.SUBMIT", CUSTOMER, ID, "d=20,c=a,t=b,", ""),
        forward(20, "SVC.SUBMIT", CUSTOMER, ID, "d=9,c=a,t=b,", ""));
  }

  @Test
  void healthCheckIsInfoLoad() {
    assertEquals(RespText.command("INFO", "load"),
        AppServerCommandEncoder.healthCheck().toString());
  }
}

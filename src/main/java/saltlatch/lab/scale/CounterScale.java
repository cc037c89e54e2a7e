package saltlatch.lab.scale;

import java.util.List;
import java.util.Map;

/**
 * Measures one real node's traffic with a counter that answers in 0.2 ms, by requests a second.
 * {@code counter.calls} holds what the simulated counter counts a second: the node's calls
 * (MESSAGES_OUT, BYTES_OUT) and the bytes of the answers (BYTES_IN). COUNT is the requests a second
 * that the node received. {@link LoadTrial} describes customers and quotas.
 */
final class CounterScale implements ScaleTest {
  private final LoadTrial trial;

  CounterScale(TestEnvironment environment) {
    trial = new LoadTrial(environment);
  }

  @Override
  public String name() {
    return "counter";
  }

  @Override
  public String grows() {
    return "requests/s at a node";
  }

  @Override
  public List<Long> sizes() {
    return List.of(24L, 80L, 240L, 720L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(TestEnvironment.NODE_BYTES, 1);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    LoadTrial.Node node = trial.node(size, repeat);
    return Map.of("counter.calls",
        MetricValues.of(Quantity.MESSAGES_OUT, node.callsPerSecond())
            .and(Quantity.BYTES_OUT, node.callBytesPerSecond())
            .and(Quantity.BYTES_IN, node.answerBytesPerSecond())
            .and(Quantity.COUNT, node.requestsPerSecond()));
  }

  @Override
  public String remark() {
    return "counter: costs are known before (costAfter false), no customer is near its quota, the counter is well.";
  }
}

package saltlatch.lab.capacity;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import java.util.EnumMap;
import java.util.Map;

/** The values of all {@link Input}s. */
public final class Inputs {
  /**
   * One input as the file has it.
   *
   * @param value  the figure
   * @param unit   of the figure
   * @param reason who gave it, or why it is assumed
   */
  public record InputValue(double value, String unit, String reason) {}

  /** A file of inputs that can't be used; the message names the key. */
  public static final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message) {
      super(message);
    }
  }

  private final Map<Input, InputValue> given;

  private Inputs(Map<Input, InputValue> given) {
    this.given = given;
  }

  /**
   * Reads the file's text: a section for each input and no other, or {@link InvalidInputException}.
   */
  public static Inputs parse(String toml) {
    Map<String, InputValue> sections = sections(toml);
    Map<Input, InputValue> given = new EnumMap<>(Input.class);
    for (Input input : Input.values()) {
      InputValue one = sections.remove(input.key());
      if (one == null || one.unit == null || one.reason == null) {
        throw new InvalidInputException(input.key() + ": wants value, unit and reason");
      }
      if (!Double.isFinite(one.value) || one.value <= 0)
        throw new InvalidInputException(input.key() + ": not above 0: " + one.value);
      given.put(input, one);
    }
    if (!sections.isEmpty())
      throw new InvalidInputException(sections.keySet().iterator().next() + ": no such input");
    return new Inputs(given);
  }

  private static Map<String, InputValue> sections(String toml) {
    TomlMapper mapper = TomlMapper.builder()
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
        .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();
    try {
      return mapper.readValue(toml, new TypeReference<java.util.TreeMap<String, InputValue>>() {});
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(e.getOriginalMessage());
    }
  }

  /** The same with one value changed. */
  public Inputs with(Input input, double value) {
    Map<Input, InputValue> changed = new EnumMap<>(given);
    InputValue before = given.get(input);
    changed.put(input, new InputValue(value, before.unit, before.reason));
    return new Inputs(changed);
  }

  /** Value, unit and reason. */
  public InputValue inputValue(Input input) {
    return given.get(input);
  }

  /** The value alone. */
  public double value(Input input) {
    return given.get(input).value;
  }

  /** The value as a figure: the target's and the text's are given, an assumption's are assumed. */
  public Figure figure(Input input) {
    return switch (input.kind()) {
      case TARGET -> Figure.exact(value(input));
      case CONSTANT -> Figure.exact(value(input)).withSource(input.key());
      case ASSUMPTION -> Figure.assumed(value(input), input.key());
    };
  }
}

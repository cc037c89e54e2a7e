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
   * One input as given in the file.
   *
   * @param value  the value
   * @param unit   unit of the value
   * @param reason origin of the value, or why it is assumed
   */
  public record InputValue(double value, String unit, String reason) {}

  /** Thrown if the text of the inputs is invalid; the message names the key. */
  public static final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidInputException(String message) {
      super(message);
    }
  }

  private final Map<Input, InputValue> values;

  private Inputs(Map<Input, InputValue> values) {
    this.values = values;
  }

  /**
   * Parses the text of the file, which must have one section for each input and no other section.
   *
   * @throws InvalidInputException if a section is missing, unknown or invalid
   */
  public static Inputs parse(String toml) {
    Map<String, InputValue> sections = sections(toml);
    Map<Input, InputValue> values = new EnumMap<>(Input.class);
    for (Input input : Input.values()) {
      InputValue inputValue = sections.remove(input.key());
      if (inputValue == null || inputValue.unit == null || inputValue.reason == null) {
        throw new InvalidInputException(
            input.key() + ": expected a section with value, unit and reason");
      }
      if (!Double.isFinite(inputValue.value) || inputValue.value <= 0)
        throw new InvalidInputException(
            input.key() + ": value must be finite and above 0, found " + inputValue.value);
      values.put(input, inputValue);
    }
    if (!sections.isEmpty())
      throw new InvalidInputException(sections.keySet().iterator().next() + ": unknown input");
    return new Inputs(values);
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

  /** Returns a copy of these inputs in which one has another value. */
  public Inputs with(Input input, double value) {
    Map<Input, InputValue> changed = new EnumMap<>(values);
    InputValue before = values.get(input);
    changed.put(input, new InputValue(value, before.unit, before.reason));
    return new Inputs(changed);
  }

  /** Returns value, unit and reason of an input. */
  public InputValue inputValue(Input input) {
    return values.get(input);
  }

  /** Returns the value of an input. */
  public double value(Input input) {
    return values.get(input).value;
  }

  /**
   * Returns the value as a figure. Values of the target and of the source code have the confidence
   * {@link Confidence#GIVEN}, assumptions have {@link Confidence#ASSUMED}.
   */
  public Figure figure(Input input) {
    return switch (input.kind()) {
      case TARGET -> Figure.exact(value(input));
      case CONSTANT -> Figure.exact(value(input)).withSource(input.key());
      case ASSUMPTION -> Figure.assumed(value(input), input.key());
    };
  }
}

package io.briarward.node.settings;

import com.google.common.base.Ascii;
import java.io.StringWriter;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Parses flags and environment variables into a bean with args4j options.
 *
 * <p>The flag {@code --http-port} has the variable {@code BRIARWARD_HTTP_PORT}; a flag takes
 * precedence over its variable. Stateless and thread-safe.
 */
public final class SettingsParser {
  private static final String VARIABLE_PREFIX = "BRIARWARD_";

  private SettingsParser() {}

  /**
   * Sets the bean's options and returns the bean.
   *
   * @throws SettingsException if a flag or variable is missing, unknown or invalid
   */
  public static <T> T parse(T bean, Map<String, String> environment, String... arguments) {
    if (arguments.length == 0 && !hasOptions(bean.getClass())) {
      return bean; // The parser would read and implement the annotations of its own options.
    }
    List<String> all = environmentArguments(bean.getClass(), environment, arguments);
    all.addAll(Arrays.asList(arguments));
    try {
      new CmdLineParser(bean).parseArgument(all);
    } catch (CmdLineException e) {
      throw new SettingsException(e.getMessage());
    }
    return bean;
  }

  /** Returns the text that {@code --help} prints for the bean's options. */
  public static String help(Object bean) {
    StringWriter text = new StringWriter();
    new CmdLineParser(bean).printUsage(text, null);
    return text.toString();
  }

  /** Returns the name of the environment variable that corresponds to a flag. */
  public static String variableOf(String flag) {
    return VARIABLE_PREFIX + Ascii.toUpperCase(flag.substring(2)).replace('-', '_');
  }

  private static List<String> environmentArguments(
      Class<?> type, Map<String, String> environment, String... arguments) {
    List<String> flags = Arrays.asList(arguments);
    List<String> result = new ArrayList<>();
    for (Option option : optionsOf(type)) {
      String value = environment.get(variableOf(option.name()));
      if (value != null && !flags.contains(option.name())) {
        result.add(option.name());
        result.add(value);
      }
    }
    return result;
  }

  private static boolean hasOptions(Class<?> type) {
    for (Class<?> each = type; each != null; each = each.getSuperclass()) {
      if (Stream.<AccessibleObject[]>of(each.getDeclaredFields(), each.getDeclaredMethods())
          .flatMap(Arrays::stream)
          .anyMatch(
              member ->
                  member.isAnnotationPresent(Option.class)
                      || member.isAnnotationPresent(Argument.class))) {
        return true;
      }
    }
    return false;
  }

  private static List<Option> optionsOf(Class<?> type) {
    List<Option> options = new ArrayList<>();
    for (Class<?> each = type; each != null; each = each.getSuperclass()) {
      for (Field field : each.getDeclaredFields()) {
        Optional.ofNullable(field.getAnnotation(Option.class)).ifPresent(options::add);
      }
    }
    return options;
  }
}

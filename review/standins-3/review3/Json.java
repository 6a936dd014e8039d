package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    return json.value();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  private void space() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    space();
    char first = text.charAt(at);
    if (first == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      for (space(); text.charAt(at) != '}'; space()) {
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
        String key = string();
        space();
        at++;
        map.put(key, value());
      }
      at++;
      return map;
    }
    if (first == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      for (space(); text.charAt(at) != ']'; space()) {
        if (text.charAt(at) == ',') {
          at++;
        }
        list.add(value());
      }
      at++;
      return list;
    }
    if (first == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> null;
      default -> word.contains(".") || word.contains("e") || word.contains("E")
          ? (Object) Double.valueOf(word)
          : (Object) Long.valueOf(word);
    };
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      int plain = at;
      while (text.charAt(at) != '"' && text.charAt(at) != '\\') {
        at++;
      }
      result.append(text, plain, at);
      if (text.charAt(at) == '\\') {
        char escape = text.charAt(at + 1);
        at += 2;
        switch (escape) {
          case 'n' -> result.append('\n');
          case 'r' -> result.append('\r');
          case 't' -> result.append('\t');
          case 'b' -> result.append('\b');
          case 'f' -> result.append('\f');
          case 'u' -> {
            result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> result.append(escape);
        }
      }
    }
    at++;
    return result.toString();
  }

  static String quote(String value) {
    StringBuilder result = new StringBuilder(value.length() + 2).append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        result.append('\\').append(c);
      } else if (c < ' ') {
        result.append(String.format("\\u%04x", (int) c));
      } else {
        result.append(c);
      }
    }
    return result.append('"').toString();
  }
}

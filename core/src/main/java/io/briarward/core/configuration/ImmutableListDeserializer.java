package io.briarward.core.configuration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Deserializes a list through an {@code ArrayList}, whose deserializer reports the index of an
 * invalid entry.
 */
final class ImmutableListDeserializer extends JsonDeserializer<ImmutableList<?>>
    implements ContextualDeserializer {
  private final JsonDeserializer<Object> delegate;

  ImmutableListDeserializer() {
    this(null);
  }

  private ImmutableListDeserializer(JsonDeserializer<Object> delegate) {
    this.delegate = delegate;
  }

  @Override
  public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property)
      throws JsonMappingException {
    JavaType element = context.getContextualType().getContentType();
    JavaType list = context.getTypeFactory().constructCollectionType(ArrayList.class, element);
    return new ImmutableListDeserializer(context.findContextualValueDeserializer(list, property));
  }

  @Override
  public ImmutableList<?> deserialize(JsonParser parser, DeserializationContext context)
      throws IOException {
    return ImmutableList.copyOf((List<?>) delegate.deserialize(parser, context));
  }
}

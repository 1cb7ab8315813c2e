package walkpost.fleet.sim;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

/** Replaces all values of one type in a message, so that faulty writers and planted faults need not know the type of each message. */
final class RecordRewriter {
    private RecordRewriter() { }

    /** Returns a copy of a value in which {@code change} replaces each value of type {@code type}, at any depth. */
    @SuppressWarnings("unchecked")
    static <T, V> T each(T value, Class<V> type, UnaryOperator<V> change) {
        return (T) rewritten(value, type, change);
    }

    private static <V> Object rewritten(Object value, Class<V> type, UnaryOperator<V> change) {
        if (type.isInstance(value)) {
            return change.apply(type.cast(value));
        }
        if (value instanceof List<?> list) {
            List<Object> copy = new ArrayList<>();
            list.forEach(each -> copy.add(rewritten(each, type, change)));
            return copy;
        }
        if (value instanceof Set<?> set) {
            Set<Object> copy = new LinkedHashSet<>();
            set.forEach(each -> copy.add(rewritten(each, type, change)));
            return copy;
        }
        if (value instanceof Map<?, ?> map) {
            Map<Object, Object> copy = new LinkedHashMap<>();
            map.forEach((key, each) -> copy.put(rewritten(key, type, change), rewritten(each, type, change)));
            return copy;
        }
        return value instanceof Record record ? rebuilt(record, type, change) : value;
    }

    private static <V> Object rebuilt(Record record, Class<V> type, UnaryOperator<V> change) {
        try {
            RecordComponent[] components = record.getClass().getRecordComponents();
            Class<?>[] types = new Class<?>[components.length];
            Object[] parts = new Object[components.length];
            for (int part = 0; part < parts.length; part++) {
                types[part] = components[part].getType();
                components[part].getAccessor().setAccessible(true);
                parts[part] = rewritten(components[part].getAccessor().invoke(record), type, change);
            }
            var constructor = record.getClass().getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(parts);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot rebuild the record " + record, e);
        }
    }
}

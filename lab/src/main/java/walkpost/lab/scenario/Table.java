package walkpost.lab.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One table of a file, read field by field. What was read is remembered, so that {@link #done} can refuse what nobody
 * asked for: a misspelt field that is passed over in silence would give an experiment other than the one meant.
 */
final class Table {
    /** Two words further apart than this are not one word misspelt. */
    private static final int MOST_SLIPS = 3;

    private final String path;
    private final JsonNode node;
    private final Set<String> known = new LinkedHashSet<>();

    Table(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    BadScenario wrong(String field, String expected) {
        JsonNode value = node.get(field);
        return new BadScenario("'" + at(field) + "': " + (value == null ? "missing" : "found " + value) + ", expected " + expected);
    }

    private String at(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    boolean has(String field) {
        known.add(field);
        return node.has(field);
    }

    String text(String field) throws BadScenario {
        known.add(field);
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw wrong(field, "a text");
        }
        return value.asText();
    }

    String text(String field, String otherwise) throws BadScenario {
        return has(field) ? text(field) : otherwise;
    }

    boolean flag(String field, boolean otherwise) throws BadScenario {
        if (!has(field)) {
            return otherwise;
        }
        if (!node.get(field).isBoolean()) {
            throw wrong(field, "true or false");
        }
        return node.get(field).asBoolean();
    }

    double number(String field, double least, double most) throws BadScenario {
        known.add(field);
        return number(field, node.path(field), least, most);
    }

    double number(String field, double least, double most, double otherwise) throws BadScenario {
        return has(field) ? number(field, least, most) : otherwise;
    }

    private double number(String field, JsonNode value, double least, double most) throws BadScenario {
        if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
            throw wrong(field, "a number from " + spelt(least) + " to " + spelt(most));
        }
        return value.asDouble();
    }

    private static String spelt(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    int whole(String field, int least, int most) throws BadScenario {
        known.add(field);
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
            throw wrong(field, "a whole number from " + least + " to " + most);
        }
        return value.asInt();
    }

    int whole(String field, int least, int most, int otherwise) throws BadScenario {
        return has(field) ? whole(field, least, most) : otherwise;
    }

    /** Reads a duration; returns microseconds. */
    long duration(String field) throws BadScenario {
        return quantity(field, Quantity.DURATION, "a duration, such as \"300ms\" or \"5s\"");
    }

    long duration(String field, long otherwise) throws BadScenario {
        return has(field) ? duration(field) : otherwise;
    }

    /** Reads a size; returns bytes. */
    long size(String field, long otherwise) throws BadScenario {
        return has(field) ? quantity(field, Quantity.SIZE, "a size, such as \"64KiB\"") : otherwise;
    }

    private long quantity(String field, Map<String, Double> units, String expected) throws BadScenario {
        known.add(field);
        long quantity = node.path(field).isTextual() ? Quantity.parse(node.get(field).asText(), units) : -1;
        if (quantity < 0) {
            throw wrong(field, expected);
        }
        return quantity;
    }

    /** Reads a figure or a pair of two, the least and the most. */
    Range range(String field, double least, double most) throws BadScenario {
        known.add(field);
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            double one = number(field, value, least, most);
            return new Range(one, one);
        }
        if (value.size() != 2) {
            throw wrong(field, "a number, or a pair of the least and the most");
        }
        var range = new Range(number(field, value.get(0), least, most), number(field, value.get(1), least, most));
        if (range.from() > range.to()) {
            throw wrong(field, "the least before the most");
        }
        return range;
    }

    /** Reads a duration or a pair of two; in microseconds. */
    Range durations(String field) throws BadScenario {
        known.add(field);
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            long one = duration(field);
            return new Range(one, one);
        }
        long from = value.size() == 2 ? Quantity.parse(value.get(0).asText(), Quantity.DURATION) : -1;
        long to = value.size() == 2 ? Quantity.parse(value.get(1).asText(), Quantity.DURATION) : -1;
        if (from < 0 || to < from) {
            throw wrong(field, "a duration, or a pair of the least and the most");
        }
        return new Range(from, to);
    }

    <E extends Enum<E>> E word(String field, Class<E> words) throws BadScenario {
        return word(field, text(field), words);
    }

    private <E extends Enum<E>> E word(String field, String text, Class<E> words) throws BadScenario {
        for (E word : words.getEnumConstants()) {
            if (spelt(word).equals(text)) {
                return word;
            }
        }
        throw wrong(field, "one of " + java.util.Arrays.stream(words.getEnumConstants()).map(Table::spelt).toList());
    }

    <E extends Enum<E>> E word(String field, Class<E> words, E otherwise) throws BadScenario {
        return has(field) ? word(field, words) : otherwise;
    }

    /** Reads a list of words; all there are where the file leaves it out. */
    <E extends Enum<E>> List<E> words(String field, Class<E> words) throws BadScenario {
        if (!has(field)) {
            return List.of(words.getEnumConstants());
        }
        var found = new ArrayList<E>();
        for (String text : texts(field, List.of())) {
            found.add(word(field, text, words));
        }
        return List.copyOf(found);
    }

    private static String spelt(Enum<?> word) {
        return word.name().toLowerCase(java.util.Locale.ROOT);
    }

    List<String> texts(String field, List<String> otherwise) throws BadScenario {
        if (!has(field)) {
            return otherwise;
        }
        var texts = new ArrayList<String>();
        for (JsonNode value : node.get(field)) {
            texts.add(value.isTextual() ? value.asText() : "");
        }
        if (!node.get(field).isArray() || texts.isEmpty() || texts.contains("")) {
            throw wrong(field, "a list of texts");
        }
        return List.copyOf(texts);
    }

    List<Integer> wholes(String field, int least, int most) throws BadScenario {
        known.add(field);
        var wholes = new ArrayList<Integer>();
        for (JsonNode value : node.path(field)) {
            if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
                throw wrong(field, "whole numbers from " + least + " to " + most);
            }
            wholes.add(value.asInt());
        }
        return List.copyOf(wholes);
    }

    boolean isList(String field) {
        return node.path(field).isArray();
    }

    /** Reads a list of lists of whole numbers. */
    List<List<Integer>> wholeLists(String field, int least, int most) throws BadScenario {
        known.add(field);
        var lists = new ArrayList<List<Integer>>();
        for (JsonNode list : node.path(field)) {
            var wholes = new ArrayList<Integer>();
            for (JsonNode value : list) {
                if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
                    throw wrong(field, "lists of whole numbers from " + least + " to " + most);
                }
                wholes.add(value.asInt());
            }
            lists.add(List.copyOf(wholes));
        }
        return List.copyOf(lists);
    }

    /** Returns the names of all fields, as people gave them: for tables whose names are theirs to choose. */
    List<String> names() {
        var names = new ArrayList<String>();
        node.fieldNames().forEachRemaining(names::add);
        return List.copyOf(names);
    }

    /** Returns the table of a name; an empty one where the file leaves it out. */
    Table table(String field) throws BadScenario {
        if (!has(field)) {
            return new Table(at(field), JsonNodeFactory.instance.objectNode());
        }
        if (!node.get(field).isObject()) {
            throw wrong(field, "a table");
        }
        return new Table(at(field), node.get(field));
    }

    /** Returns the tables of a list; none where the file leaves it out. */
    List<Table> tables(String field) throws BadScenario {
        var tables = new ArrayList<Table>();
        if (has(field)) {
            for (JsonNode item : node.get(field)) {
                if (!item.isObject()) {
                    throw wrong(field, "tables, each under [[" + field + "]]");
                }
                tables.add(new Table(at(field) + "[" + tables.size() + "]", item));
            }
            if (!node.get(field).isArray()) {
                throw wrong(field, "tables, each under [[" + field + "]]");
            }
        }
        return tables;
    }

    /** Refuses what nobody asked for, and names the nearest of what could have been meant. */
    void done() throws BadScenario {
        var names = new ArrayList<String>();
        node.fieldNames().forEachRemaining(names::add);
        for (String name : names) {
            if (!known.contains(name)) {
                String nearest = known.stream().min(Comparator.comparingInt(k -> slips(name, k))).orElse(name);
                String hint = slips(name, nearest) <= MOST_SLIPS ? "'" + nearest + "'" : "one of " + known;
                throw new BadScenario("'" + at(name) + "': no such field, expected " + hint);
            }
        }
    }

    /** Returns how many letters are to be put in, left out or changed to make one word of another (Levenshtein 1966). */
    static int slips(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int changed = diagonal + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[to.length()];
    }
}

package walkpost.wire;

import walkpost.Balancer;
import walkpost.Policy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Hosts instances of the decision module for the simulator: reads batches of events, passes each event to its instance, and writes the
 * resulting actions as the reply. Instances share no state. Single-threaded.
 */
final class InstanceHost {
    private final Function<Balancer.Settings, Balancer> factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final WireLine wireLine = new WireLine();
    private final StringBuilder reply = new StringBuilder(1 << 12);
    private BufferedReader reader;
    private long lineNumber;

    InstanceHost() {
        this(Policy::new);
    }

    InstanceHost(Function<Balancer.Settings, Balancer> factory) {
        this.factory = factory;
    }

    /** Runs until the input ends, and returns the exit code: 0, or 1 after malformed input. */
    int run(InputStream in, OutputStream out, PrintStream errors) throws IOException {
        reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        try {
            for (String line = readLine(); line != null; line = readLine()) {
                if (!line.isEmpty()) {
                    handleBatch(line);
                    reply.append("ok\n");
                    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    reply.setLength(0);
                }
            }
            return 0;
        } catch (WireException e) {
            errors.println("line " + lineNumber + ": " + e.getMessage());
            return 1;
        }
    }

    private String readLine() throws IOException {
        lineNumber++;
        return reader.readLine();
    }

    private String readLineInBatch() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new WireException("input ends inside a batch");
        }
        return line;
    }

    private void handleBatch(String firstLine) throws IOException {
        wireLine.read(firstLine);
        if (!wireLine.name().equals("batch")) {
            throw new WireException("expected 'batch', found '" + wireLine.name() + "'");
        }
        long now = wireLine.wholeNumber("wall_us");
        for (String line = readLineInBatch(); !line.equals("commit"); line = readLineInBatch()) {
            if (!line.isEmpty()) {
                wireLine.read(line);
                handleEvent(now, wireLine.name());
            }
        }
    }

    private void handleEvent(long now, String name) throws IOException {
        int number = wireLine.nonNegativeInt("who");
        if (name.equals("up")) {
            createInstance(number);
            return;
        }
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new WireException("event '" + name + "' for instance " + number + ", which is not up");
        }
        if (name.equals("detach")) {
            instances.remove(number);
            return;
        }
        Balancer.Event event = name.equals("update") ? readListUpdate() : Codec.event(name, wireLine);
        if (event != null) {
            try {
                instance.balancer.handle(now, event, instance);
            } catch (RuntimeException e) {
                writePanic(number, e);
            }
        }
    }

    private void createInstance(int number) {
        Balancer.Settings settings;
        try {
            settings = Codec.settings(wireLine);
        } catch (IllegalArgumentException e) {
            throw new WireException("up: " + e.getMessage());
        }
        try {
            instances.put(number, new Instance(number, factory.apply(settings)));
        } catch (RuntimeException e) {
            writePanic(number, e);
        }
    }

    private Balancer.ListUpdate readListUpdate() throws IOException {
        Balancer.ListKind kind = Codec.listKind(wireLine);
        int count = wireLine.optional("nodes_list") == null ? 0 : wireLine.nonNegativeInt("nodes_list");
        List<Balancer.Backend> backends = new ArrayList<>(Math.min(count, 1024));
        for (int i = 0; i < count; i++) {
            wireLine.read(readLineInBatch());
            try {
                backends.add(Codec.backend(wireLine));
            } catch (IllegalArgumentException e) {
                throw new WireException("entry: " + e.getMessage());
            }
        }
        return new Balancer.ListUpdate(kind, backends);
    }

    /** Writes that an instance has thrown an exception, and where. */
    private void writePanic(int number, RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        Codec.head(reply, "panic", number).append(" message=").append(Codec.oneLine(String.valueOf(e)));
        if (trace.length > 0) {
            reply.append(" at ").append(trace[0]);
        }
        reply.append('\n');
    }

    /** The module of one simulated proxy. Writes its actions to the reply, with its number. */
    private final class Instance implements Consumer<Balancer.Action> {
        private final int number;
        private final Balancer balancer;

        Instance(int number, Balancer balancer) {
            this.number = number;
            this.balancer = balancer;
        }

        @Override
        public void accept(Balancer.Action action) {
            Codec.write(reply, number, action);
        }
    }
}

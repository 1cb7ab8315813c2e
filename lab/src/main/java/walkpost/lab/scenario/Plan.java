package walkpost.lab.scenario;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.io.Writer;
import java.util.List;

/**
 * All that is drawn for one play, ahead of it. A plan follows from scenario and seed alone: two plays with the same seed
 * differ in nothing but what processes make of it.
 *
 * @param classes what was drawn for each class
 * @param servers those there at the start, then those that come later
 * @param arrivals in the order they are due
 */
public record Plan(long seed, List<ClassDraw> classes, List<Server> servers, List<Arrival> arrivals, List<PlannedFault> faults,
        List<Peer> peers) {

    /** The means of a class on this play's day; in microseconds. {@code patience} is the part of the deadline given. */
    public record ClassDraw(String name, double work, double waits, double patience) { }

    /**
     * A tile server.
     *
     * @param place the address it stands at; a replacement stands where its predecessor stood
     * @param kind its place among the scenario's kinds
     * @param comes the fault that brings it; -1 for those there at the start
     */
    public record Server(String id, int place, int kind, String zone, int cell, double speed, double weight, int comes) { }

    /**
     * A client's request.
     *
     * @param dueUs when it is sent, from the first moment of the play
     * @param tenant its place among the tenants; -1 where there are none
     * @param workUs on a standard core
     * @param hintUs what the client says of the work; below 0 for nothing
     * @param luck from 0 to 1; who is unlucky becomes heavy while a fault asks for it
     * @param tries the first one and those that may follow
     */
    public record Arrival(long dueUs, int requestClass, int tenant, long workUs, long waitUs, long hintUs, double luck,
            String key, List<Try> tries) { }

    /**
     * One try of a request.
     *
     * @param patienceUs how long the client waits for this one
     * @param front where the front sends it: a part of the way through those admitted
     * @param backoffUs the wait before it, after the one before has failed
     * @param obeys whether the client waits before it as long as it was told to
     */
    public record Try(String id, long patienceUs, double front, long backoffUs, boolean obeys) { }

    /** A fault and whom it hits: places among the proxies, or among the plan's servers. */
    public record PlannedFault(int number, Scenario.Fault fault, List<Integer> hits) { }

    /** A peer that does not behave. */
    public record Peer(long dueUs, boolean silent, double front, String bytes) { }

    /** Writes the plan, an object a line; the same plan gives the same bytes. */
    public void write(Writer out) throws IOException {
        ObjectWriter json = new ObjectMapper().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET).writer();
        for (List<?> part : List.of(classes, servers, faults, arrivals, peers)) {
            for (Object line : part) {
                json.writeValue(out, line);
                out.write('\n');
            }
        }
    }
}

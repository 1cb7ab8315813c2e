package walkpost.lab.net;

import walkpost.lab.ledger.Ledger;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.scenario.Streams;

/** What all stand-ins of one play go by. Clients have loops of their own: what servers do must not make them late. */
public record Stage(Scenario scenario, Plan plan, Streams streams, PlayClock clock, Ledger ledger, Book book, Board board, Loops loops,
        Loops clientLoops) {
    /** Returns a link as the scenario's network has it between a proxy and a machine. */
    public Link link() {
        return new Link(scenario.network().latencyUs(), scenario.network().jitterUs());
    }

    /** Returns a link as the scenario's network has it between clients and a proxy. */
    public Link clientLink() {
        return new Link(scenario.network().clientUs(), scenario.network().jitterUs());
    }
}

package walkpost.lab.play;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;
import walkpost.lab.discovery.DiscoveryStand;
import walkpost.lab.discovery.Entry;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;
import walkpost.lab.process.Place;
import walkpost.lab.process.ProxyProcess;
import walkpost.lab.process.SideProcess;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Plan.PlannedFault;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.server.TileServerStand;

/** Carries faults out, each when its time or its event has come. Used by the play's thread. */
final class Faults {
    private static final long SECOND = 1_000_000;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline, counted as 3 s where longer, plus 0.7 s (PROTOCOL). */
    private static final long MOST_DEADLINE_US = 3 * SECOND;
    private static final long KILL_US = 700_000;
    private static final long LOOK_US = 20_000;

    private final Stage stage;
    private final Fleet fleet;
    private final Timeline timeline;
    private final List<PlannedFault> waiting = new ArrayList<>();

    Faults(Stage stage, Fleet fleet, Timeline timeline) {
        this.stage = stage;
        this.fleet = fleet;
        this.timeline = timeline;
        for (PlannedFault fault : stage.plan().faults()) {
            if (fault.fault().when().atUs() >= 0) {
                timeline.at(fault.fault().when().atUs(), () -> begin(fault));
            } else {
                waiting.add(fault);
            }
        }
    }

    /** Begins the faults whose events have come; returns whether any is still waited for. */
    boolean look() {
        for (PlannedFault fault : List.copyOf(waiting)) {
            if (fleet.clients().answered(fault.fault().when().proxy()) >= fault.fault().when().answered()) {
                waiting.remove(fault);
                begin(fault);
            }
        }
        return !waiting.isEmpty();
    }

    private void begin(PlannedFault planned) {
        Scenario.Fault fault = planned.fault();
        note(planned, false);
        switch (fault.act()) {
            case KILL -> each(planned, place -> {
                places(fault).get(place).kill();
                back(fault, place);
            });
            case TERM -> each(planned, proxy -> terminate(fault, proxy));
            case STOP -> each(planned, place -> {
                places(fault).get(place).stop();
                after(fault.lengthUs(), places(fault).get(place)::go);
            });
            case HUP -> each(planned, proxy -> proxies().get(proxy).hangUp());
            case ISOLATE -> each(planned, proxy -> {
                fleet.isolate(proxy, fault.from(), true);
                after(fault.lengthUs(), () -> fleet.isolate(proxy, fault.from(), false));
            });
            case PART, LINK -> {
                fleet.net().begin(planned);
                after(fault.lengthUs(), () -> fleet.net().end(planned));
            }
            case SLOW -> eachPlace(planned, s -> s.slowDown(fault.size()), s -> s.slowDown(1));
            case ERRORS -> eachPlace(planned, s -> s.fail(fault.size()), s -> s.fail(-1));
            case CUT -> eachPlace(planned, s -> s.silence(true, true), s -> s.silence(false, false));
            case MUTE -> eachPlace(planned, s -> s.silence(false, true), s -> s.silence(false, false));
            case RESET -> resets(planned);
            case DRAIN -> each(planned, place -> drain(planned, place));
            case RESTART -> each(planned, place -> restart(fault, place));
            case JOIN -> each(planned, server -> join(stage.plan().servers().get(server)));
            case HEAVY -> heavy(planned);
            case DISCOVERY -> {
                fleet.onDiscovery(d -> trouble(d, fault, true));
                after(fault.lengthUs(), () -> fleet.onDiscovery(d -> trouble(d, fault, false)));
            }
            case HOLD -> {
                stage.loops().hold(fault.lengthUs());
                stage.clientLoops().hold(fault.lengthUs());
            }
            case BURST -> { } // drawn into the arrivals
        }
        if (fault.lengthUs() > 0) {
            after(fault.lengthUs() + (planned.hits().size() - 1L) * fault.stepUs(), () -> note(planned, true));
        }
    }

    private static void trouble(DiscoveryStand discovery, Scenario.Fault fault, boolean begins) {
        if (fault.silent()) {
            discovery.fallSilent(begins);
        } else {
            discovery.down(begins);
        }
    }

    private List<ProxyProcess> proxies() {
        return fleet.proxies();
    }

    private List<? extends Place> places(Scenario.Fault fault) {
        return switch (fault.whom()) {
            case PROXIES -> fleet.proxies();
            case VOTERS -> fleet.sides().voters();
            case HOLLOW -> fleet.sides().hollow();
        };
    }

    private void note(PlannedFault fault, boolean ended) {
        stage.ledger().note(new Seen.FaultIs(now(), fault.number(), fault.fault().act().name(), ended, fault.hits()));
    }

    private void after(long us, Runnable what) {
        timeline.at(now() + us, what);
    }

    private void each(PlannedFault planned, IntConsumer what) {
        long late = 0;
        for (int hit : planned.hits()) {
            after(late, () -> what.accept(hit));
            late += planned.fault().stepUs();
        }
    }


    private void eachPlace(PlannedFault planned, java.util.function.Consumer<TileServerStand> begin,
            java.util.function.Consumer<TileServerStand> end) {
        each(planned, place -> {
            fleet.on(place, begin);
            after(planned.fault().lengthUs(), () -> fleet.on(place, end));
        });
    }

    private void back(Scenario.Fault fault, int proxy) {
        if (fault.backUs() >= 0 && fault.whom() != Scenario.Whom.PROXIES) {
            List<SideProcess> of = fault.whom() == Scenario.Whom.VOTERS ? fleet.sides().voters() : fleet.sides().hollow();
            after(fault.backUs(), () -> Sides.start(of.get(proxy)));
        } else if (fault.backUs() >= 0) {
            if (!fault.keep()) {
                fleet.net().empty(proxy);
            }
            after(fault.backUs(), () -> {
                if (fault.other()) {
                    fleet.becomeOther(proxy);
                }
                fleet.start(proxy);
            });
        }
    }

    private void terminate(Scenario.Fault fault, int proxy) {
        places(fault).get(proxy).terminate();
        long longest = stage.scenario().classes().stream().mapToLong(Scenario.RequestClass::deadlineUs).max().orElse(0);
        lookForEnd(fault, proxy, now() + Math.min(longest, MOST_DEADLINE_US) + KILL_US);
    }

    private void lookForEnd(Scenario.Fault fault, int proxy, long killAt) {
        Place place = places(fault).get(proxy);
        if (place.alive() && now() >= killAt) {
            place.kill();
        }
        if (place.alive()) {
            after(LOOK_US, () -> lookForEnd(fault, proxy, killAt));
        } else {
            back(fault, proxy);
        }
    }

    private void resets(PlannedFault planned) {
        Scenario.Fault fault = planned.fault();
        var random = stage.streams().of("resets of fault " + planned.number());
        long between = Math.round(SECOND / fault.size());
        for (long t = 0; t < fault.lengthUs(); t += between) {
            int place = planned.hits().get(random.nextInt(planned.hits().size()));
            double part = random.nextDouble();
            after(t, () -> fleet.on(place, s -> s.resetOne(part)));
        }
    }

    private void heavy(PlannedFault planned) {
        Scenario.Fault fault = planned.fault();
        int requestClass = stage.scenario().classes().stream().map(Scenario.RequestClass::name).toList().indexOf(fault.requestClass());
        fleet.clients().heavy(planned.number(), requestClass, fault.size(), fault.times());
        after(fault.lengthUs(), () -> fleet.clients().light(planned.number()));
    }

    private void drain(PlannedFault planned, int place) {
        Plan.Server old = stage.plan().servers().stream().filter(s -> s.place() == place && s.comes() < 0).findFirst().orElseThrow();
        long noticeUs = stage.scenario().discovery().noticeUs();
        fleet.on(place, TileServerStand::drain);
        fleet.onDiscovery(d -> d.change(d.entry(old.id()).in(Entry.State.DRAINING), noticeUs));
        after(planned.fault().lengthUs(), () -> {
            fleet.on(place, TileServerStand::stop);
            fleet.onDiscovery(d -> d.change(d.entry(old.id()).in(Entry.State.GONE), noticeUs));
        });
        stage.plan().servers().stream().filter(s -> s.place() == place && s.comes() == planned.number()).findFirst()
                .ifPresent(next -> after(planned.fault().lengthUs() + planned.fault().backUs(), () -> join(next)));
    }

    private void join(Plan.Server server) {
        fleet.on(server.place(), s -> s.start(server, true));
        Entry entry = fleet.entry(server, System.currentTimeMillis());
        fleet.onDiscovery(d -> d.change(entry, stage.scenario().discovery().addUs()));
    }

    private void restart(Scenario.Fault fault, int place) {
        Plan.Server server = stage.plan().servers().stream().filter(s -> s.place() == place && s.comes() < 0).findFirst().orElseThrow();
        Scenario.Discovery terms = stage.scenario().discovery();
        fleet.on(place, TileServerStand::stop);
        if (fault.lengthUs() > terms.noticeUs()) {
            fleet.onDiscovery(d -> d.change(d.entry(server.id()).in(Entry.State.GONE), terms.noticeUs()));
        }
        after(fault.lengthUs(), () -> {
            fleet.on(place, s -> s.start(server, true));
            long startedMs = System.currentTimeMillis();
            fleet.onDiscovery(d -> d.change(d.entry(server.id()).startedAt(startedMs), terms.addUs()));
        });
    }

    private long now() {
        return stage.clock().now();
    }
}

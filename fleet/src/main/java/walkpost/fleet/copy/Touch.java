package walkpost.fleet.copy;

import java.util.Map;
import java.util.TreeMap;

/**
 * Whether this member is in touch, and level: owns when each configured member was last heard, with whom the copy has been compared
 * since touch was last lost, and when this member was last level.
 *
 * <p>A member that starts is not level before a promise of its former life, of which it knows nothing, has run out.
 */
final class Touch {
    /** A copy that never was level is older than any other, and by so much that differences do not overflow. */
    static final long NEVER_US = Long.MAX_VALUE / 4;

    /** The part of a gap from which on what comes in may have waited meanwhile. Ages are upper bounds: more is right, less is not. */
    private static final long WAITING = 10;

    private final CopySettings settings;
    private final Neighbours neighbours;
    private final Figures figures;
    private final Map<String, Long> heard = new TreeMap<>();
    private final Map<String, Long> compared = new TreeMap<>();
    private boolean started;
    private boolean level;
    private long startUs;
    private long lastUs;
    private long inTouchUs;
    private long jumpUs;
    private long jumpedAtUs;

    Touch(CopySettings settings, Neighbours neighbours, Figures figures) {
        this.figures = figures;
        this.settings = settings;
        this.neighbours = neighbours;
    }

    /** Takes the time of an event; returns whether touch begins anew: with the first event, and after standing still. */
    boolean clock(long nowUs) {
        if (!started) {
            started = true;
            startUs = nowUs;
            inTouchUs = nowUs - NEVER_US;
            jumpedAtUs = nowUs - NEVER_US;
            lastUs = nowUs;
            return true;
        }
        long step = nowUs - lastUs;
        lastUs = nowUs;
        if (level) {
            inTouchUs = nowUs - step;
        }
        if (step > settings.gapUs() / WAITING) {
            boolean again = nowUs - step - jumpedAtUs <= settings.gapUs();
            // Stops in a row add up, as between them little may have been read; mere slowness does not, or ages would grow for ever.
            jumpUs = !again ? step : step > settings.gapUs() ? jumpUs + step : Math.max(jumpUs, step);
            jumpedAtUs = nowUs;
        }
        if (step <= settings.gapUs()) {
            return false;
        }
        figures.count("touch.stood_still");
        lose();
        return true;
    }

    /** The copy came from disk: it is as old as the time away. */
    void restored(long nowUs, long awayUs) {
        inTouchUs = nowUs - Math.min(Math.max(awayUs, 0), NEVER_US);
    }

    void heard(String from, long nowUs) {
        if (neighbours.isConfigured(from)) {
            heard.put(from, nowUs);
        }
    }

    /** Returns when a member was last heard; long ago where it never was. */
    long heardUs(String name) {
        return heard.getOrDefault(name, startUs - NEVER_US);
    }

    /** The copy has been found equal to that member's, or has taken in all that was there. */
    void compared(String with, long nowUs) {
        if (neighbours.isConfigured(with)) {
            compared.put(with, nowUs);
        }
    }

    /** Settles whether this member is level; returns whether that has changed. */
    boolean settle(long nowUs) {
        boolean inTouch = heard.values().stream().filter(at -> nowUs - at <= settings.silenceUs()).count() >= neighbours.othersNeeded();
        if (level) {
            if (!inTouch) {
                lose();
            }
            return !level;
        }
        // What was compared long ago, before a silence perhaps, does not count.
        compared.values().removeIf(at -> nowUs - at > settings.silenceUs());
        boolean alone = neighbours.configuredSize() == 1 && neighbours.othersNeeded() == 0;
        boolean quiet = alone || nowUs - startUs > settings.promiseUs();
        level = inTouch && quiet && compared.size() >= neighbours.othersNeeded();
        return level;
    }

    boolean level() {
        return level;
    }

    /** Returns with how many configured members the copy is compared, this one counted. */
    int compared() {
        return compared.size() + neighbours.majority() - neighbours.othersNeeded();
    }

    /** Returns how long ago this copy was last level: how old it is. */
    long awayUs(long nowUs) {
        return level ? 0 : nowUs - inTouchUs;
    }

    /** The copy has been emptied: from now on it is no older than the one it is filled from. */
    void emptied(long nowUs, long awayUs) {
        inTouchUs = nowUs - awayUs;
        compared.clear();
    }

    /** Returns what has to be added to the age of what comes in: it may have waited in a socket while this member stood still. */
    long waitedUs(long nowUs) {
        return nowUs - jumpedAtUs <= settings.gapUs() ? jumpUs : 0;
    }

    private void lose() {
        level = false;
        compared.clear();
    }
}

package walkpost.log;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The SLF4J back end, which writes events of level INFO and above as lines on standard error. It replaces the common back ends, because
 * clients wait while a proxy starts, and those took more of the start time than they may (docs/findings/log.md). The environment variable
 * {@code WALKPOST_LOG} selects the format: {@code text}, the default, or {@code json}. Thread-safe after {@link #initialize}.
 */
public final class Provider implements SLF4JServiceProvider {
    /** Any version 2.0, because the interface between SLF4J and its back ends has not changed since. */
    private static final String API_VERSION = "2.0.99";
    private static final String FORMAT_VARIABLE = "WALKPOST_LOG";

    private final IMarkerFactory markerFactory = new BasicMarkerFactory();
    private final MDCAdapter mdcAdapter = new NOPMDCAdapter();
    private final Map<String, ComponentLogger> loggers = new ConcurrentHashMap<>();
    private ErrorStreamWriter writer;

    @Override
    public void initialize() {
        String format = System.getenv().getOrDefault(FORMAT_VARIABLE, "text");
        writer = new ErrorStreamWriter(format.equals("json") ? LineFormat.JSON : LineFormat.TEXT);
        if (!format.equals("json") && !format.equals("text")) {
            logger("log").atWarn().addKeyValue("variable", FORMAT_VARIABLE).addKeyValue("found", format)
                    .addKeyValue("expected", "text or json").log("format_unknown");
        }
    }

    private ComponentLogger logger(String name) {
        return loggers.computeIfAbsent(name, loggerName -> new ComponentLogger(loggerName, writer));
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return this::logger;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markerFactory;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return mdcAdapter;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }
}

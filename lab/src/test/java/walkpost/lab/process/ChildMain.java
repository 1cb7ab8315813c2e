package walkpost.lab.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A lab in a process of its own that starts one child, says its number and waits to be ended. */
public final class ChildMain {
    private ChildMain() { }

    /** Starts a child that writes to the log named. */
    public static void main(String[] args) throws IOException {
        var sleep = new Program("sleep", Path.of("").toAbsolutePath(), List.of("sleep", "600"));
        System.out.println(Child.start(sleep, 0, Map.of(), Path.of(args[0])).pid());
        System.in.read();
    }
}

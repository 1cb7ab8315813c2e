package walkpost.proxy;

import static walkpost.proxy.ListVersion.Verdict.ASK_WHOLE;
import static walkpost.proxy.ListVersion.Verdict.OVERTAKEN;
import static walkpost.proxy.ListVersion.Verdict.TAKE;
import static walkpost.proxy.ListVersion.Verdict.TAKE_ANEW;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ListVersionTest {
    /** Columns: the version at the start of the call, the current version (epoch:number), the response's number, full, the verdict. */
    @ParameterizedTest
    @CsvSource({
        "0:41, 0:41, 41, false, TAKE", "0:41, 0:41, 42, false, TAKE", "0:41, 0:41, 41, true, TAKE", "0:-1, 0:-1, 3, true, TAKE",
        "0:41, 0:43, 43, true, TAKE", "0:41, 0:43, 44, false, TAKE", "0:-1, 0:43, 43, true, TAKE",
        "0:41, 0:43, 42, true, OVERTAKEN", "0:41, 0:43, 42, false, OVERTAKEN", "0:-1, 0:43, 42, true, OVERTAKEN",
        "0:43, 0:43, 3, true, TAKE_ANEW", "0:43, 0:43, 3, false, ASK_WHOLE",
        "0:41, 1:-1, 99, true, OVERTAKEN", "0:41, 1:3, 99, false, OVERTAKEN"})
    void comparesAResponseWithTheVersionAtTheStartOfItsCall(String atCallStart, String current, long number, boolean full,
            ListVersion.Verdict verdict) {
        assertThat(version(current).judge(version(atCallStart), number, full)).isEqualTo(verdict);
    }

    private static ListVersion version(String text) {
        String[] parts = text.split(":");
        return new ListVersion(Integer.parseInt(parts[0]), Long.parseLong(parts[1]));
    }

    /** A lower number shows that discovery has restarted, so that responses to calls from before must not be compared with it. */
    @Test
    void startsANewEpochIfTheListOfAnotherProcessHasALowerNumber() {
        var current = new ListVersion(2, 41);
        assertThat(current.adopt(41)).isEqualTo(current);
        assertThat(current.adopt(43)).isEqualTo(new ListVersion(2, 43));
        assertThat(current.adopt(3)).isEqualTo(new ListVersion(3, 3));
        assertThat(current.adopt(-1)).isEqualTo(new ListVersion(3, -1));
        assertThat(new ListVersion(0, -1).adopt(3)).isEqualTo(new ListVersion(0, 3));
    }

    @Test
    void startsANewEpochAfterARestartOfDiscovery() {
        var current = new ListVersion(2, 41);
        assertThat(current.after(TAKE, 42)).isEqualTo(new ListVersion(2, 42));
        assertThat(current.after(OVERTAKEN, 40)).isEqualTo(current);
        assertThat(current.after(TAKE_ANEW, 3)).isEqualTo(new ListVersion(3, 3));
        assertThat(current.after(ASK_WHOLE, 3)).isEqualTo(new ListVersion(3, -1));
        assertThat(current.after(ASK_WHOLE, 3).hasList()).isFalse();
    }
}

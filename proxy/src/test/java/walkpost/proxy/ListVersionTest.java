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
    /** What was held when the call was made, what is held now (life:number), the answer, and what becomes of it. */
    @ParameterizedTest
    @CsvSource({
        "0:41, 0:41, 41, false, TAKE", "0:41, 0:41, 42, false, TAKE", "0:41, 0:41, 41, true, TAKE", "0:-1, 0:-1, 3, true, TAKE",
        "0:41, 0:43, 43, true, TAKE", "0:41, 0:43, 44, false, TAKE", "0:-1, 0:43, 43, true, TAKE",
        "0:41, 0:43, 42, true, OVERTAKEN", "0:41, 0:43, 42, false, OVERTAKEN", "0:-1, 0:43, 42, true, OVERTAKEN",
        "0:43, 0:43, 3, true, TAKE_ANEW", "0:43, 0:43, 3, false, ASK_WHOLE",
        "0:41, 1:-1, 99, true, OVERTAKEN", "0:41, 1:3, 99, false, OVERTAKEN"})
    void judgesAnAnswerByWhatWasHeldWhenItWasAskedFor(String asked, String held, long answer, boolean full, ListVersion.Verdict verdict) {
        assertThat(version(held).judge(version(asked), answer, full)).isEqualTo(verdict);
    }

    private static ListVersion version(String text) {
        String[] parts = text.split(":");
        return new ListVersion(Integer.parseInt(parts[0]), Long.parseLong(parts[1]));
    }

    @Test
    void holdsWhatItTookAndForgetsWhatIsNoUse() {
        var held = new ListVersion(2, 41);
        assertThat(held.after(TAKE, 42)).isEqualTo(new ListVersion(2, 42));
        assertThat(held.after(OVERTAKEN, 40)).isEqualTo(held);
        assertThat(held.after(TAKE_ANEW, 3)).isEqualTo(new ListVersion(3, 3));
        assertThat(held.after(ASK_WHOLE, 3)).isEqualTo(new ListVersion(3, -1));
        assertThat(held.after(ASK_WHOLE, 3).held()).isFalse();
    }
}

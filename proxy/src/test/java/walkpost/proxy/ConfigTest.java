package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import walkpost.Balancer;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that a configuration is read completely and that an invalid one is rejected with a message that names the field. */
class ConfigTest {
    @Test
    void readsAllSettings() throws Exception {
        Config config = Config.parse(ProxyFixture.config());
        assertThat(config.settings().seed()).isEqualTo(0x92094eb940cf389aL);
        assertThat(config.settings().limits().listOnRequest()).isTrue();
        assertThat(config.settings().classes()).extracting(Balancer.RequestClass::effect)
                .containsExactly(Balancer.Effect.SAFE, Balancer.Effect.KEYED, Balancer.Effect.UNSAFE);
        assertThat(config.settings().tenants()).containsExactly(new Balancer.Tenant("acme", 100));
        assertThat(config.connIdleUs()).isEqualTo(15_000_000);
        assertThat(config.lastKnownList().path("version").asLong()).isEqualTo(41);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "name|''|'name': missing",
        "listen|'8080'|'listen': '8080' is not a numeric IP address and port, such as 127.0.0.1:8080",
        "discovery|'host:80'|'discovery': 'host:80' is not a numeric IP address and port, such as 127.0.0.1:8080",
        "seed|'xyz'|'seed': 'xyz' is not a hexadecimal number of up to 64 bits",
        "limits|''|'limits.sockets': '' is not an integer of at least 128",
        "settings|'x'|'settings': missing or not a JSON object"})
    void rejectsAnInvalidFieldByName(String field, String value, String message) throws Exception {
        assertThatThrownBy(() -> Config.parse(ProxyFixture.config().put(field, value)))
                .isInstanceOf(Config.InvalidConfigException.class).hasMessage(message);
    }

    @Test
    void rejectsAMissingOrUnknownSettingByName() throws Exception {
        ObjectNode missing = ProxyFixture.config();
        ((ObjectNode) missing.path("settings").path("bounds")).remove("conn_idle_us");
        assertThatThrownBy(() -> Config.parse(missing)).hasMessage("'settings': missing setting 'bounds.conn_idle_us'");
        ObjectNode wrong = ProxyFixture.config();
        ((ObjectNode) wrong.path("settings").path("profiles").get(1)).put("effect", "sometimes");
        assertThatThrownBy(() -> Config.parse(wrong))
                .hasMessage("'settings': unknown value 'sometimes' in setting 'profiles.1.effect', expected one of "
                        + "[at_most_once, deduplicated, idempotent]");
    }

    @Test
    void rejectsAnUnreadableOrMalformedFile(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("config.json");
        assertThatThrownBy(() -> Config.read(file)).isInstanceOf(Config.InvalidConfigException.class)
                .hasMessageStartingWith("the configuration file cannot be read: ");
        Files.writeString(file, "{");
        assertThatThrownBy(() -> Config.read(file)).isInstanceOf(Config.InvalidConfigException.class)
                .hasMessageStartingWith("the configuration file is not valid JSON: ");
    }
}

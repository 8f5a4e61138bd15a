package org.dotterelcourse.daemon.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.ConfigurationReader;
import org.dotterelcourse.configuration.ConfigurationText;
import org.dotterelcourse.configuration.Finding;
import org.dotterelcourse.coordination.configuration.Content;
import org.dotterelcourse.coordination.configuration.Entry;
import org.dotterelcourse.coordination.configuration.EntryReducer;

/**
 * Folds published entries into configurations. The folded document is the canonical text, so that equal content has equal
 * bytes in every process. The last result is kept as it was read, so that a patch doesn't read the whole document again.
 */
final class ConfigurationFolder implements EntryReducer {
    private final ConfigurationReader reader;
    private Configuration last;
    private byte[] lastBytes;

    ConfigurationFolder(ConfigurationReader reader) {
        this.reader = reader;
    }

    @Override
    public Result fold(Optional<Content> inForce, Entry entry) {
        String name = "entry " + entry.number();
        String text = new String(entry.body(), StandardCharsets.UTF_8);
        if (entry.whole()) {
            return result(reader.read(entry.number(), name, text));
        }
        if (inForce.isEmpty()) {
            return new Refused(List.of(name + ": a patch, but no document is in force that it could apply to"));
        }
        return result(reader.fold(configuration(inForce.get()), entry.number(), name, text));
    }

    /**
     * The configuration that a content holds.
     *
     * @param content bytes that this folder, or that of another daemon, has made
     * @return the configuration
     * @throws IllegalStateException if the bytes can't be read
     */
    Configuration configuration(Content content) {
        if (content.bytes() == lastBytes) {
            return last;
        }
        String text = new String(content.bytes(), StandardCharsets.UTF_8);
        Checked<Configuration> read = reader.read(content.number(), "number " + content.number(), text);
        if (read instanceof Checked.Valid<Configuration> valid) {
            last = valid.value();
            lastBytes = content.bytes();
            return last;
        }
        throw new IllegalStateException("a daemon has folded a document that doesn't hold: " + read);
    }

    private Result result(Checked<Configuration> checked) {
        if (checked instanceof Checked.Valid<Configuration> valid) {
            last = valid.value();
            lastBytes = ConfigurationText.render(last).getBytes(StandardCharsets.UTF_8);
            return new Accepted(lastBytes);
        }
        return new Refused(((Checked.Invalid<Configuration>) checked)
                .findings().stream().map(Finding::toString).toList());
    }
}

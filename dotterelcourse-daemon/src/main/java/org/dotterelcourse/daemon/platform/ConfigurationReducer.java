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
 * Applies published entries to the configuration in force. The result is rendered as canonical text, so that equal
 * content has equal bytes in every process. The last result is cached in parsed form, so that applying a patch does not
 * parse the whole document again.
 */
final class ConfigurationReducer implements EntryReducer {
    private final ConfigurationReader reader;
    private Configuration last;
    private byte[] lastBytes;

    ConfigurationReducer(ConfigurationReader reader) {
        this.reader = reader;
    }

    @Override
    public Result fold(Optional<Content> inForce, Entry entry) {
        String name = "entry " + entry.number();
        String text = new String(entry.body(), StandardCharsets.UTF_8);
        if (entry.whole()) {
            return toResult(reader.read(entry.number(), name, text));
        }
        if (inForce.isEmpty()) {
            return new Refused(List.of(name + ": a patch, but no document is in force that it could apply to"));
        }
        return toResult(reader.fold(configuration(inForce.get()), entry.number(), name, text));
    }

    /**
     * Parses a content, or returns the cached configuration if the content is the last result.
     *
     * @param content canonical text produced by this reducer or by that of another daemon
     * @return the parsed configuration
     * @throws IllegalStateException if the content is not a valid configuration
     */
    Configuration configuration(Content content) {
        if (content.bytes() == lastBytes) {
            return last;
        }
        String text = new String(content.bytes(), StandardCharsets.UTF_8);
        Checked<Configuration> checked = reader.read(content.number(), "number " + content.number(), text);
        if (checked instanceof Checked.Valid<Configuration> valid) {
            last = valid.value();
            lastBytes = content.bytes();
            return last;
        }
        throw new IllegalStateException("configuration content from a daemon is not valid: " + checked);
    }

    private Result toResult(Checked<Configuration> checked) {
        if (checked instanceof Checked.Valid<Configuration> valid) {
            last = valid.value();
            lastBytes = ConfigurationText.render(last).getBytes(StandardCharsets.UTF_8);
            return new Accepted(lastBytes);
        }
        return new Refused(((Checked.Invalid<Configuration>) checked)
                .findings().stream().map(Finding::toString).toList());
    }
}

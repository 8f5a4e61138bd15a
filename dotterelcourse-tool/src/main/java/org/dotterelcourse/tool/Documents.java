package org.dotterelcourse.tool;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.dotterelcourse.configuration.Checked;
import org.dotterelcourse.configuration.Configuration;
import org.dotterelcourse.configuration.Finding;
import org.dotterelcourse.configuration.IniConfigurationReader;

/** Reads the configuration documents and patches that the operator names. */
final class Documents {
    /** The platform's configuration service holds values up to this size. */
    static final int LARGEST_BYTES = 1 << 20;

    private static final IniConfigurationReader READER = new IniConfigurationReader();

    private Documents() {}

    /**
     * Reads a whole document.
     *
     * @param number the number that it is published under
     * @param file its path
     * @return the configuration or the findings
     * @throws WrongCallException if the file can't be read
     */
    static Checked<Configuration> whole(long number, String file) throws WrongCallException {
        String text = TextFile.read(file);
        return withSize(file, text, READER.read(number, file, text));
    }

    /**
     * Folds a patch.
     *
     * @param base what it is applied to
     * @param file the patch's path
     * @return the configuration that results or the findings
     * @throws WrongCallException if the file can't be read
     */
    static Checked<Configuration> fold(Configuration base, String file) throws WrongCallException {
        String text = TextFile.read(file);
        return withSize(file, text, READER.fold(base, base.number() + 1, file, text));
    }

    /** A value that is too large is refused by the service only when it is published, in the middle of a change. */
    private static Checked<Configuration> withSize(String file, String text, Checked<Configuration> checked) {
        int bytes = text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes <= LARGEST_BYTES) {
            return checked;
        }
        List<Finding> findings = new ArrayList<>();
        String expected = "at most " + LARGEST_BYTES + " bytes, what the configuration service holds";
        findings.add(new Finding(file, "", "", expected, bytes + " bytes"));
        if (checked instanceof Checked.Invalid<Configuration> invalid) {
            findings.addAll(invalid.findings());
        }
        return new Checked.Invalid<>(findings);
    }

    /**
     * Prints what a document holds.
     *
     * @param console where to print
     * @param json whether to print JSON
     * @param file the file that was right
     * @param configuration what it holds or results in
     */
    static void printRight(Console console, boolean json, String file, Configuration configuration) {
        int workers = configuration.upstreams().stream()
                .mapToInt(each -> each.workers().size())
                .sum();
        if (json) {
            Report.print(console, summary(configuration, workers).put("file", file));
            return;
        }
        console.out()
                .printf(
                        "%s: right. Number %d, %d classes, %d customers, %d upstreams, %d workers, digest %s%n",
                        file,
                        configuration.number(),
                        configuration.classes().size(),
                        configuration.customers().size(),
                        configuration.upstreams().size(),
                        workers,
                        configuration.digest());
    }

    private static ObjectNode summary(Configuration configuration, int workers) {
        return Report.object()
                .put("valid", true)
                .put("number", configuration.number())
                .put("digest", configuration.digest())
                .put("classes", configuration.classes().size())
                .put("customers", configuration.customers().size())
                .put("upstreams", configuration.upstreams().size())
                .put("workers", workers);
    }
}

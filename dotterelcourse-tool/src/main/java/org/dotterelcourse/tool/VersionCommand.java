package org.dotterelcourse.tool;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/** Prints the tool's version. */
@Command(name = "version", description = "Print the tool's version")
public final class VersionCommand implements OperatorCommand {
    private static final String RESOURCE = "version.properties";

    @Option(name = "--json", description = "Print JSON")
    private boolean json;

    @Override
    public ExitCode run(Console console) {
        String version = version();
        if (json) {
            Report.print(console, Report.object().put("name", CommandLine.NAME).put("version", version));
        } else {
            console.out().println(CommandLine.NAME + " " + version);
        }
        return ExitCode.OK;
    }

    private static String version() {
        Properties properties = new Properties();
        try (InputStream resource = VersionCommand.class.getResourceAsStream(RESOURCE)) {
            properties.load(resource);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return properties.getProperty("version");
    }
}

package org.dotterelcourse.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Parses the command line, runs the command, and answers a wrong call with what was probably meant. */
public final class CommandLine {
    static final String NAME = "dotterelctl";

    private static final List<String> HELP = List.of("--help", "-h", "help");

    private final Console console;
    private final Cli<OperatorCommand> cli = cli();

    /**
     * Makes a command line.
     *
     * @param console where commands print
     */
    public CommandLine(Console console) {
        this.console = console;
    }

    private static Cli<OperatorCommand> cli() {
        CliBuilder<OperatorCommand> builder = Cli.<OperatorCommand>builder(NAME)
                .withDescription("Checks what is to be published, and asks daemons how they are")
                .withCommand(StatusCommand.class)
                .withCommand(MembersCommand.class)
                .withCommand(OwnersCommand.class)
                .withCommand(ClassesCommand.class)
                .withCommand(AuditCommand.class)
                .withCommand(DrainCommand.class)
                .withCommand(LoadCommand.class)
                .withCommand(LossesCommand.class)
                .withCommand(VersionCommand.class);
        builder.withGroup("settings")
                .withDescription("Daemons' settings files")
                .withCommand(SettingsCheckCommand.class);
        builder.withGroup("config").withDescription("Configuration documents").withCommand(ConfigCheckCommand.class);
        builder.withGroup("patch")
                .withDescription("Patches of the configuration")
                .withCommands(List.of(PatchCheckCommand.class, PatchPreviewCommand.class, PatchApplyCommand.class));
        return builder.build();
    }

    /**
     * Runs a command.
     *
     * @param args the command line
     * @return how it ended
     */
    public ExitCode run(String... args) {
        List<String> words = new ArrayList<>(Arrays.asList(args));
        if (words.removeIf(HELP::contains)) {
            return help(words);
        }
        OperatorCommand command;
        try {
            command = cli.parse(args);
        } catch (ParseException e) {
            return wrongCall(new CallHint(cli.getMetadata()).of(words).orElse(e.getMessage()));
        }
        try {
            return command.run(console);
        } catch (WrongCallException e) {
            return wrongCall(e.getMessage());
        }
    }

    private ExitCode wrongCall(String message) {
        console.err().println(NAME + ": " + message);
        console.err().println("See " + NAME + " --help, or --help after a command.");
        return ExitCode.WRONG_CALL;
    }

    private ExitCode help(List<String> words) {
        List<String> names =
                words.stream().takeWhile(word -> !word.startsWith("-")).toList();
        CallHint hint = new CallHint(cli.getMetadata());
        if (hint.ofNames(names).isPresent()) {
            return wrongCall(hint.ofNames(names).get());
        }
        try {
            Help.help(cli.getMetadata(), hint.commandPart(names), console.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ExitCode.OK;
    }
}

package org.dotterelcourse.tool;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.model.OptionMetadata;
import org.dotterelcourse.configuration.NearestName;

/** Finds the word of a wrong call that is unknown, and the known one that is nearest. */
final class CallHint {
    private final GlobalMetadata<OperatorCommand> metadata;

    /**
     * Prepares hints.
     *
     * @param metadata the known commands
     */
    CallHint(GlobalMetadata<OperatorCommand> metadata) {
        this.metadata = metadata;
    }

    /**
     * Explains a call that the parser refused.
     *
     * @param words the call
     * @return what is wrong, or empty if the names of commands and options are all known
     */
    Optional<String> of(List<String> words) {
        List<String> names =
                words.stream().takeWhile(word -> !word.startsWith("-")).toList();
        return ofNames(names).or(() -> ofOptions(words));
    }

    /**
     * Explains unknown names of commands.
     *
     * @param names the call's first words
     * @return what is wrong, or empty if they name a group, a command, or nothing
     */
    Optional<String> ofNames(List<String> names) {
        if (names.isEmpty()) {
            return Optional.empty();
        }
        Optional<CommandGroupMetadata> group = group(names.get(0));
        if (group.isEmpty()) {
            return unknown("command", names.get(0), topLevel());
        }
        List<String> members = names(group.get().getCommands());
        return names.size() < 2 ? Optional.empty() : unknown("command " + names.get(0), names.get(1), members);
    }

    /**
     * Cuts arguments off.
     *
     * @param names the call's first words, all known
     * @return the words that name the group and the command
     */
    List<String> commandPart(List<String> names) {
        int length = names.isEmpty() ? 0 : group(names.get(0)).isPresent() ? 2 : 1;
        return names.subList(0, Math.min(length, names.size()));
    }

    private Optional<String> ofOptions(List<String> words) {
        Optional<CommandMetadata> command = command(words);
        if (command.isEmpty()) {
            return Optional.of("expected a command, one of " + String.join(", ", allCommands()));
        }
        List<String> known = new ArrayList<>();
        for (OptionMetadata option : command.get().getAllOptions()) {
            known.addAll(option.getOptions());
        }
        known.add("--help");
        return words.stream()
                .filter(word -> word.startsWith("-"))
                .map(word -> unknown("option", word, known))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<CommandMetadata> command(List<String> words) {
        if (words.isEmpty()) {
            return Optional.empty();
        }
        Optional<CommandGroupMetadata> group = group(words.get(0));
        List<CommandMetadata> candidates =
                group.map(CommandGroupMetadata::getCommands).orElse(metadata.getDefaultGroupCommands());
        int place = group.isPresent() ? 1 : 0;
        return candidates.stream()
                .filter(each -> place < words.size() && each.getName().equals(words.get(place)))
                .findFirst();
    }

    private Optional<CommandGroupMetadata> group(String name) {
        return metadata.getCommandGroups().stream()
                .filter(each -> each.getName().equals(name))
                .findFirst();
    }

    private List<String> topLevel() {
        List<String> names = new ArrayList<>(names(metadata.getDefaultGroupCommands()));
        metadata.getCommandGroups().forEach(group -> names.add(group.getName()));
        return names;
    }

    private List<String> allCommands() {
        List<String> all = new ArrayList<>(names(metadata.getDefaultGroupCommands()));
        for (CommandGroupMetadata group : metadata.getCommandGroups()) {
            names(group.getCommands()).forEach(name -> all.add(group.getName() + " " + name));
        }
        return all;
    }

    private static List<String> names(List<CommandMetadata> commands) {
        return commands.stream().map(CommandMetadata::getName).toList();
    }

    private static Optional<String> unknown(String what, String word, List<String> known) {
        if (known.contains(word)) {
            return Optional.empty();
        }
        String hint = NearestName.hint(word, known);
        return Optional.of("unknown " + what + " " + hint + "; known: " + String.join(", ", known));
    }
}

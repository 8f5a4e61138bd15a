package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Divides the receivers of a large message into a few branches, so that each process sends it at most four times and
 * each data centre gets it once from outside. A process that forwards the message divides its branch in the same way.
 */
final class ForwardingTree {
    /** Branches if all receivers are in the data centre of the sender, or none of them. */
    private static final int BRANCHES = 3;

    /** Branches in the data centre of the sender, and as many in all others together, if there are receivers in both. */
    private static final int BRANCHES_OF_EACH_SORT = 2;

    private ForwardingTree() {}

    /**
     * A receiver of a message.
     *
     * @param name name of the process
     * @param dataCentre its data centre
     */
    record Receiver(String name, String dataCentre) {}

    /**
     * A process to send the message to.
     *
     * @param name name of the process
     * @param forwardTo names of the processes to which it is to forward the message, directly or through others
     */
    record Branch(String name, List<String> forwardTo) {}

    /**
     * Divides receivers into branches. Each branch is led by the earliest of its receivers, and the earliest receivers are
     * spread over the branches. A process that does not respond, or a data centre that has failed, therefore keeps the
     * message from others only if all receivers before them lead branches already.
     *
     * @param receivers the receivers, without the sender, the ones that are preferred for forwarding first
     * @param ownDataCentre data centre of the sender
     * @return the branches, which contain each receiver once; at most four, those of other data centres first
     */
    static List<Branch> divide(List<Receiver> receivers, String ownDataCentre) {
        Map<String, List<String>> namesByDataCentre = receivers.stream()
                .collect(Collectors.groupingBy(
                        Receiver::dataCentre,
                        LinkedHashMap::new,
                        Collectors.mapping(Receiver::name, Collectors.toList())));
        List<String> localNames = namesByDataCentre.getOrDefault(ownDataCentre, List.of());
        namesByDataCentre.remove(ownDataCentre);
        List<List<String>> remoteGroups = List.copyOf(namesByDataCentre.values());
        boolean hasBoth = !localNames.isEmpty() && !remoteGroups.isEmpty();
        int count = hasBoth ? BRANCHES_OF_EACH_SORT : BRANCHES;
        List<Branch> branches = new ArrayList<>();
        for (List<List<String>> groups : split(remoteGroups, count)) {
            branches.add(branch(groups.stream().flatMap(List::stream).toList()));
        }
        for (List<String> names : split(localNames, count)) {
            branches.add(branch(names));
        }
        return branches;
    }

    private static Branch branch(List<String> names) {
        return new Branch(names.get(0), List.copyOf(names.subList(1, names.size())));
    }

    /** Deals a list out into at most the given number of non-empty parts, which begin with its first elements. */
    private static <T> List<List<T>> split(List<T> list, int count) {
        List<List<T>> parts = new ArrayList<>();
        int partCount = Math.min(count, list.size());
        for (int i = 0; i < partCount; i++) {
            List<T> part = new ArrayList<>();
            for (int j = i; j < list.size(); j += partCount) {
                part.add(list.get(j));
            }
            parts.add(part);
        }
        return parts;
    }
}

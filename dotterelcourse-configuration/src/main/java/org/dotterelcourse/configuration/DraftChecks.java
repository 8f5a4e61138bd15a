package org.dotterelcourse.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Checks what concerns more than one section: references, duplicates, and sums. */
final class DraftChecks {
    /** Allows for the rounding of decimal fractions when shares are added up. */
    private static final double ROUNDING = 1e-9;

    private final String file;
    private final Draft draft;
    private final Findings findings;

    /**
     * Prepares the checks.
     *
     * @param file the file to name for sections that were there before
     * @param draft what is checked
     * @param findings takes what is wrong
     */
    DraftChecks(String file, Draft draft, Findings findings) {
        this.file = file;
        this.draft = draft;
        this.findings = findings;
    }

    /** Runs all checks. */
    void run() {
        checkNotEmpty();
        draft.classes().byName().values().forEach(this::checkClass);
        draft.customers().byName().values().forEach(this::checkCustomer);
        draft.workers().byName().values().forEach(this::checkWorker);
        checkShares();
        checkKeys();
        checkAddresses();
    }

    /** A text that was cut off or emptied on its way would otherwise put a system that serves nobody in force. */
    private void checkNotEmpty() {
        for (String word : draft.words()) {
            if (draft.ofKind(word).isEmpty()) {
                findings.add(file, "", "", "at least one section [" + word + " NAME]", "none");
            }
        }
    }

    private void checkClass(RequestClass requestClass) {
        Place place = place(draft.classes(), requestClass.name());
        if (!draft.upstreams().exists(requestClass.upstream())) {
            unknown(place, ClassSection.UPSTREAM, "upstream", requestClass.upstream(), draft.upstreams());
            return;
        }
        Upstream upstream = draft.upstreams().byName().get(requestClass.upstream());
        if (upstream == null) {
            return;
        }
        if (upstream.kind() == Upstream.Kind.SERVICE) {
            checkServiceClass(place, requestClass);
        } else {
            checkEngineClass(place, requestClass);
        }
    }

    private void checkServiceClass(Place place, RequestClass requestClass) {
        String reason = " for a class of the plain service " + requestClass.upstream();
        if (!requestClass.model().isEmpty()) {
            place.add(ClassSection.MODEL, "no model" + reason, requestClass.model());
        }
        if (!requestClass.version().isEmpty()) {
            place.add(ClassSection.VERSION, "no version" + reason, requestClass.version());
        }
        if (requestClass.tokenIntervalMillis() != 0) {
            place.add(ClassSection.TOKEN_INTERVAL, "0" + reason, String.valueOf(requestClass.tokenIntervalMillis()));
        }
        if (requestClass.maxOutputTokens() != 1) {
            place.add(ClassSection.MAX_OUTPUT_TOKENS, "1" + reason, String.valueOf(requestClass.maxOutputTokens()));
        }
    }

    private void checkEngineClass(Place place, RequestClass requestClass) {
        String reason = " for a class of the engines " + requestClass.upstream();
        if (requestClass.model().isEmpty()) {
            place.add(ClassSection.MODEL, "a model" + reason, "nothing");
        }
        if (requestClass.version().isEmpty()) {
            place.add(ClassSection.VERSION, "a version" + reason, "nothing");
        }
        if (requestClass.tokenIntervalMillis() == 0) {
            place.add(ClassSection.TOKEN_INTERVAL, "at least 1" + reason, "0");
        }
    }

    private void checkCustomer(Customer customer) {
        for (String name : customer.classes()) {
            if (!draft.classes().exists(name)) {
                Place place = place(draft.customers(), customer.name());
                unknown(place, CustomerSection.CLASSES, "class", name, draft.classes());
            }
        }
        if (!customer.classes().contains(customer.defaultClass())) {
            String found = NearestName.hint(customer.defaultClass(), customer.classes());
            place(draft.customers(), customer.name())
                    .add(CustomerSection.DEFAULT_CLASS, "one of the customer's classes", found);
        }
    }

    private void checkWorker(PlacedWorker placed) {
        if (!draft.upstreams().exists(placed.upstream())) {
            Place place = place(draft.workers(), placed.worker().name());
            unknown(place, WorkerSection.UPSTREAM, "upstream", placed.upstream(), draft.upstreams());
        }
    }

    private void checkShares() {
        Map<String, Double> sums = new TreeMap<>();
        for (RequestClass each : draft.classes().byName().values()) {
            sums.merge(each.upstream(), each.minimumShare(), Double::sum);
        }
        sums.forEach((upstream, sum) -> {
            if (sum > 1 + ROUNDING) {
                String expected = "classes whose " + ClassSection.MINIMUM_SHARE + " add up to 1 at most";
                place(draft.upstreams(), upstream).add("", expected, Decimals.text(sum));
            }
        });
    }

    private void checkKeys() {
        Map<String, String> owners = new HashMap<>();
        for (Customer each : draft.customers().byName().values()) {
            String owner = owners.putIfAbsent(each.keySha256(), each.name());
            if (owner != null) {
                place(draft.customers(), each.name())
                        .add(CustomerSection.KEY_SHA256, "a key of its own", "that of customer " + owner);
            }
        }
    }

    private void checkAddresses() {
        Map<String, String> owners = new HashMap<>();
        for (PlacedWorker each : draft.workers().byName().values()) {
            Worker worker = each.worker();
            String owner = owners.putIfAbsent(worker.address(), worker.name());
            if (owner != null) {
                place(draft.workers(), worker.name())
                        .add(WorkerSection.ADDRESS, "an address of its own", "that of worker " + owner);
            }
        }
    }

    private void unknown(Place place, String key, String what, String name, SectionRecords<?> known) {
        place.add(
                key,
                "the name of a known " + what,
                NearestName.hint(name, known.byName().keySet()));
    }

    private Place place(SectionRecords<?> records, String name) {
        return new Place(records.origin(file, name), findings);
    }

    /**
     * Where findings about a record are placed.
     *
     * @param section the record's section
     * @param findings takes the findings
     */
    private record Place(IniSection section, Findings findings) {
        void add(String key, String expected, String found) {
            findings.add(section.file(), section.header(), key, expected, found);
        }
    }
}

package org.dotterelcourse.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Validates rules that span several sections: references, uniqueness, and the sum of minimum shares. */
final class DraftValidator {
    /** Allows for floating-point rounding when minimum shares are added up. */
    private static final double SHARE_SUM_TOLERANCE = 1e-9;

    private final String file;
    private final Draft draft;
    private final Findings findings;

    /**
     * Creates a validator for one draft.
     *
     * @param file the file name reported for records that come from the base configuration
     * @param draft the draft to validate
     * @param findings receives the validation errors
     */
    DraftValidator(String file, Draft draft, Findings findings) {
        this.file = file;
        this.draft = draft;
        this.findings = findings;
    }

    /** Runs all validations. */
    void validate() {
        checkNotEmpty();
        draft.classes().byName().values().forEach(this::checkClass);
        draft.customers().byName().values().forEach(this::checkCustomer);
        draft.workers().byName().values().forEach(this::checkWorker);
        checkShares();
        checkKeys();
        checkAddresses();
    }

    /** Rejects truncated or empty documents. Once in force, such a configuration would reject every request. */
    private void checkNotEmpty() {
        for (String kindName : draft.kindNames()) {
            if (draft.ofKind(kindName).isEmpty()) {
                findings.add(file, "", "", "at least one section [" + kindName + " NAME]", "none");
            }
        }
    }

    private void checkClass(RequestClass requestClass) {
        FindingLocation location = location(draft.classes(), requestClass.name());
        if (!draft.upstreams().exists(requestClass.upstream())) {
            reportUnknownName(location, ClassSection.UPSTREAM, "upstream", requestClass.upstream(), draft.upstreams());
            return;
        }
        Upstream upstream = draft.upstreams().byName().get(requestClass.upstream());
        if (upstream == null) {
            return;
        }
        if (upstream.kind() == Upstream.Kind.SERVICE) {
            checkServiceClass(location, requestClass);
        } else {
            checkEngineClass(location, requestClass);
        }
    }

    private void checkServiceClass(FindingLocation location, RequestClass requestClass) {
        String reason = " for a class of the plain service " + requestClass.upstream();
        if (!requestClass.model().isEmpty()) {
            location.add(ClassSection.MODEL, "no model" + reason, requestClass.model());
        }
        if (!requestClass.version().isEmpty()) {
            location.add(ClassSection.VERSION, "no version" + reason, requestClass.version());
        }
        if (requestClass.tokenIntervalMillis() != 0) {
            location.add(ClassSection.TOKEN_INTERVAL, "0" + reason, String.valueOf(requestClass.tokenIntervalMillis()));
        }
        if (requestClass.maxOutputTokens() != 1) {
            location.add(ClassSection.MAX_OUTPUT_TOKENS, "1" + reason, String.valueOf(requestClass.maxOutputTokens()));
        }
    }

    private void checkEngineClass(FindingLocation location, RequestClass requestClass) {
        String reason = " for a class of the engines " + requestClass.upstream();
        if (requestClass.model().isEmpty()) {
            location.add(ClassSection.MODEL, "a model" + reason, "nothing");
        }
        if (requestClass.version().isEmpty()) {
            location.add(ClassSection.VERSION, "a version" + reason, "nothing");
        }
        if (requestClass.tokenIntervalMillis() == 0) {
            location.add(ClassSection.TOKEN_INTERVAL, "at least 1" + reason, "0");
        }
    }

    private void checkCustomer(Customer customer) {
        for (String name : customer.classes()) {
            if (!draft.classes().exists(name)) {
                FindingLocation location = location(draft.customers(), customer.name());
                reportUnknownName(location, CustomerSection.CLASSES, "class", name, draft.classes());
            }
        }
        if (!customer.classes().contains(customer.defaultClass())) {
            String found = NearestName.hint(customer.defaultClass(), customer.classes());
            location(draft.customers(), customer.name())
                    .add(CustomerSection.DEFAULT_CLASS, "one of the customer's classes", found);
        }
    }

    private void checkWorker(UpstreamWorker upstreamWorker) {
        if (!draft.upstreams().exists(upstreamWorker.upstream())) {
            FindingLocation location =
                    location(draft.workers(), upstreamWorker.worker().name());
            reportUnknownName(
                    location, WorkerSection.UPSTREAM, "upstream", upstreamWorker.upstream(), draft.upstreams());
        }
    }

    private void checkShares() {
        Map<String, Double> sums = new TreeMap<>();
        for (RequestClass each : draft.classes().byName().values()) {
            sums.merge(each.upstream(), each.minimumShare(), Double::sum);
        }
        sums.forEach((upstream, sum) -> {
            if (sum > 1 + SHARE_SUM_TOLERANCE) {
                String expected = "classes whose " + ClassSection.MINIMUM_SHARE + " add up to 1 at most";
                location(draft.upstreams(), upstream).add("", expected, Decimals.text(sum));
            }
        });
    }

    private void checkKeys() {
        Map<String, String> owners = new HashMap<>();
        for (Customer each : draft.customers().byName().values()) {
            String owner = owners.putIfAbsent(each.keySha256(), each.name());
            if (owner != null) {
                location(draft.customers(), each.name())
                        .add(CustomerSection.KEY_SHA256, "a key of its own", "that of customer " + owner);
            }
        }
    }

    private void checkAddresses() {
        Map<String, String> owners = new HashMap<>();
        for (UpstreamWorker each : draft.workers().byName().values()) {
            Worker worker = each.worker();
            String owner = owners.putIfAbsent(worker.address(), worker.name());
            if (owner != null) {
                location(draft.workers(), worker.name())
                        .add(WorkerSection.ADDRESS, "an address of its own", "that of worker " + owner);
            }
        }
    }

    private void reportUnknownName(
            FindingLocation location, String key, String kindName, String name, SectionRecords<?> candidates) {
        location.add(
                key,
                "the name of a known " + kindName,
                NearestName.hint(name, candidates.byName().keySet()));
    }

    private FindingLocation location(SectionRecords<?> records, String name) {
        return new FindingLocation(records.origin(file, name), findings);
    }

    /**
     * The section to which findings about a record are attributed.
     *
     * @param section the section that defines the record
     * @param findings receives the findings
     */
    private record FindingLocation(IniSection section, Findings findings) {
        void add(String key, String expected, String found) {
            findings.add(section.file(), section.header(), key, expected, found);
        }
    }
}

package org.dotterelcourse.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.google.protobuf.InvalidProtocolBufferException;
import org.dotterelcourse.gateway.GatewayLoop;
import org.dotterelcourse.gateway.GatewayState;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos;
import org.dotterelcourse.gateway.fleet.generated.FleetProtos.PartReading.State;
import org.dotterelcourse.gateway.workers.WorkerEntry;
import org.dotterelcourse.gateway.workers.WorkerLinks;
import org.dotterelcourse.policy.resumption.KeptPartEvidence;
import org.dotterelcourse.policy.resumption.StreamKey;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Determines which workers of an upstream keep a part of a prompt, when a stream is resumed that no process knows. The
 * workers are divided among the processes, so that each is read about once. The process that asks reads those itself of
 * which no peer tells anything. Used on the gateway's event loop only.
 */
final class PartSurvey {
    static final String QUERIES = "gateway-part-survey-queries";
    static final String ANSWERS = "gateway-part-survey-answers";

    /** Time in which parts are collected for one query. */
    private static final long COLLECT_MILLIS = 20;

    /** Time between two queries to a peer whose answer is not complete. */
    private static final long REPEAT_MILLIS = 150;

    /** Time in which most workers answer; a peer that reads workers answers then. */
    private static final long READ_MILLIS = 40;

    /** Time after which a worker of which no peer tells anything is read by the process that asks. */
    private static final long SUBSTITUTE_NANOS = 500_000_000L;

    /** Parts in one query, which then fits into a datagram. */
    private static final int MAX_PARTS = 64;

    private final GatewayLoop loop;
    private final GatewayState state;
    private final VersionKeepers keepers;
    private final PartReadings readings;
    private final WorkerLinks workers;
    private final Map<String, Survey> collecting = new HashMap<>();
    private final Map<Long, Survey> surveys = new HashMap<>();
    private final QueryNumbers numbers = new QueryNumbers(RandomGenerator.getDefault());

    /** The parts of one query, who waits for them, and what peers have answered. */
    private static final class Survey {
        private final long number;
        private final String upstream;
        private final List<StreamKey> parts = new ArrayList<>();
        private final Map<MonoSink<KeptPartEvidence.Verdict>, StreamKey> waiting = new HashMap<>();
        private final Set<String> completed = new HashSet<>();
        private final Map<String, PeerReading> byWorker = new HashMap<>();
        private long begunNanos;

        private Survey(long number, String upstream) {
            this.number = number;
            this.upstream = upstream;
        }

        /** Returns what a peer has read of a worker. */
        private Optional<PartReadings.Reading> find(WorkerEntry worker) {
            return Optional.ofNullable(byWorker.get(worker.id()))
                    .filter(each -> each.incarnation() == worker.incarnation()
                            && each.version().equals(worker.version()))
                    .map(PeerReading::reading);
        }
    }

    /** What a peer has read of one start of a worker. */
    private record PeerReading(int incarnation, String version, PartReadings.Reading reading) {
        /** Returns whether this replaces another answer: a peer may not reach a worker that another one has read. */
        private boolean replaces(PeerReading other) {
            return other.reading().state() != State.READ || reading.state() == State.READ;
        }
    }

    PartSurvey(GatewayLoop loop, GatewayState state, VersionKeepers keepers, PartReadings readings) {
        this.loop = loop;
        this.state = state;
        this.keepers = keepers;
        this.readings = readings;
        this.workers = new WorkerLinks(state.workers(), RandomGenerator.getDefault());
        readings.onChange(() -> List.copyOf(surveys.values()).forEach(this::conclude));
    }

    /**
     * Determines which version's workers keep a part.
     *
     * @param limitMillis time in milliseconds after which an incomplete conclusion is returned
     */
    Mono<KeptPartEvidence.Verdict> survey(String upstream, StreamKey part, long limitMillis) {
        return Mono.create(sink -> {
            Survey survey = collecting.computeIfAbsent(upstream, this::open);
            survey.parts.add(part);
            survey.waiting.put(sink, part);
            sink.onDispose(() -> survey.waiting.remove(sink));
            loop.runAfter(limitMillis, () -> endAtLimit(survey, sink));
            if (survey.parts.size() >= MAX_PARTS) {
                begin(survey);
            }
        });
    }

    private void endAtLimit(Survey survey, MonoSink<KeptPartEvidence.Verdict> sink) {
        StreamKey part = survey.waiting.get(sink);
        if (part != null) {
            sink.success(verdict(survey, part));
        }
    }

    private Survey open(String upstream) {
        Survey survey = new Survey(numbers.next(), upstream);
        loop.runAfter(COLLECT_MILLIS, () -> begin(survey));
        return survey;
    }

    private void begin(Survey survey) {
        if (collecting.remove(survey.upstream, survey)) {
            survey.begunNanos = loop.nowNanos();
            surveys.put(survey.number, survey);
            advance(survey);
        }
    }

    /** Reads workers and asks the peers whose answers are not complete, until nobody waits for a conclusion. */
    private void advance(Survey survey) {
        if (survey.waiting.isEmpty()) {
            surveys.remove(survey.number);
            return;
        }
        Map<String, WorkerEntry> published = published(survey.upstream);
        readings.read(assigned(published));
        readings.read(published.values().stream()
                .filter(worker -> isReadHere(survey, worker))
                .toList());
        byte[] query = FleetProtos.PartSurveyQuery.newBuilder()
                .setNumber(survey.number)
                .setUpstream(survey.upstream)
                .addAllPart(survey.parts.stream().map(StreamKey::value).toList())
                .build()
                .toByteArray();
        keepers.others().stream()
                .filter(peer -> !survey.completed.contains(peer.name()))
                .forEach(peer -> keepers.send(peer, QUERIES, query));
        conclude(survey);
        loop.runAfter(REPEAT_MILLIS, () -> advance(survey));
    }

    /** Returns whether this process reads a worker itself, because no peer tells anything of it, or one finds it gone. */
    private boolean isReadHere(Survey survey, WorkerEntry worker) {
        return survey.find(worker)
                .map(reading -> reading.state() == State.GONE)
                .orElseGet(() -> loop.nowNanos() - survey.begunNanos >= SUBSTITUTE_NANOS);
    }

    private Map<String, WorkerEntry> published(String upstream) {
        Map<String, WorkerEntry> published = new HashMap<>();
        workers.published(upstream).forEach(entry -> published.put(entry.id(), entry));
        return published;
    }

    private List<WorkerEntry> assigned(Map<String, WorkerEntry> published) {
        return keepers.assigned(published.keySet()).stream().map(published::get).toList();
    }

    private void conclude(Survey survey) {
        Map<StreamKey, KeptPartEvidence.Verdict> verdicts = new HashMap<>();
        Map.copyOf(survey.waiting).forEach((sink, part) -> {
            KeptPartEvidence.Verdict verdict = verdicts.computeIfAbsent(part, key -> verdict(survey, key));
            if (verdict.outcome() != KeptPartEvidence.Outcome.INCOMPLETE) {
                sink.success(verdict);
            }
        });
    }

    private KeptPartEvidence.Verdict verdict(Survey survey, StreamKey part) {
        long nowNanos = loop.nowNanos();
        Collection<WorkerEntry> published = published(survey.upstream).values();
        List<KeptPartEvidence.Reading> evidence = new ArrayList<>();
        for (WorkerEntry worker : published) {
            PartReadings.Reading reading = reading(survey, worker);
            boolean keeps = reading.parts().contains(part);
            if (keeps) {
                state.partVersions().record(part, worker.version(), nowNanos);
            }
            evidence.add(new KeptPartEvidence.Reading(worker.version(), evidence(reading.state(), keeps)));
        }
        return KeptPartEvidence.conclude(state.partVersions().find(part), evidence);
    }

    /** Returns what is known of a worker. That a peer can't reach it does not show that it is gone. */
    private PartReadings.Reading reading(Survey survey, WorkerEntry worker) {
        PartReadings.Reading own = readings.find(worker);
        return own.state() == State.READ
                ? own
                : survey.find(worker)
                        .filter(reading -> reading.state() == State.READ)
                        .orElse(own);
    }

    private static KeptPartEvidence.State evidence(State state, boolean keeps) {
        return switch (state) {
            case READ -> keeps ? KeptPartEvidence.State.KEEPS : KeptPartEvidence.State.KEEPS_NOT;
            case GONE -> KeptPartEvidence.State.GONE;
            default -> KeptPartEvidence.State.UNREAD;
        };
    }

    void receiveQuery(String peer, byte[] body) throws InvalidProtocolBufferException {
        FleetProtos.PartSurveyQuery query = FleetProtos.PartSurveyQuery.parseFrom(body);
        readings.read(assigned(published(query.getUpstream())));
        if (isPending(query.getUpstream())) {
            loop.runAfter(READ_MILLIS, () -> answer(peer, query));
        } else {
            answer(peer, query);
        }
    }

    private boolean isPending(String upstream) {
        return assigned(published(upstream)).stream().anyMatch(readings::isPending);
    }

    private void answer(String peer, FleetProtos.PartSurveyQuery query) {
        List<StreamKey> parts = query.getPartList().stream().map(StreamKey::new).toList();
        Map<String, WorkerEntry> published = published(query.getUpstream());
        Set<WorkerEntry> known = new HashSet<>();
        assigned(published).stream().filter(readings::isPending).forEach(known::add);
        published.values().stream()
                .filter(worker -> readings.find(worker).state() != State.UNREAD)
                .forEach(known::add);
        byte[] answer = FleetProtos.PartSurveyAnswer.newBuilder()
                .setNumber(query.getNumber())
                .setComplete(!isPending(query.getUpstream()))
                .addAllReading(known.stream()
                        .map(worker -> PartReadingCodec.encode(worker, readings.find(worker), parts))
                        .toList())
                .build()
                .toByteArray();
        keepers.others().stream()
                .filter(member -> member.name().equals(peer))
                .forEach(member -> keepers.send(member, ANSWERS, answer));
    }

    void receiveAnswer(String peer, byte[] body) throws InvalidProtocolBufferException {
        FleetProtos.PartSurveyAnswer answer = FleetProtos.PartSurveyAnswer.parseFrom(body);
        Survey survey = surveys.get(answer.getNumber());
        if (survey == null) {
            return;
        }
        for (FleetProtos.PartReading message : answer.getReadingList()) {
            PeerReading reading = new PeerReading(
                    message.getIncarnation(), message.getVersion(), PartReadingCodec.decode(message, survey.parts));
            survey.byWorker.merge(
                    message.getWorker(), reading, (known, latest) -> latest.replaces(known) ? latest : known);
        }
        if (answer.getComplete()) {
            survey.completed.add(peer);
        }
        conclude(survey);
    }

    void removeExpired() {
        readings.removeExpired();
    }
}

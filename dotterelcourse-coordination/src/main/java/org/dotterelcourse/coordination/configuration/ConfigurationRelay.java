package org.dotterelcourse.coordination.configuration;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.dotterelcourse.coordination.configuration.ConfigurationMessage.Entries;
import org.dotterelcourse.coordination.configuration.ConfigurationMessage.Head;
import org.dotterelcourse.coordination.configuration.ConfigurationMessage.Pull;
import org.dotterelcourse.coordination.configuration.ConfigurationMessage.Snapshot;

/**
 * State machine that replicates published entries to one process by gossip and applies them. A few readers in each data
 * centre watch the configuration service. A process that advances announces its position to a few random peers, which
 * pull the missing entries. Each body thus reaches each process about once, in a number of steps that grows with the
 * logarithm of the fleet size. Membership messages also carry each member's position, so that a process that received
 * no announcement still catches up.
 *
 * <p>The position never decreases. A service restored from an old copy, a delayed message or an outdated peer can
 * therefore never revert a process to older content. Not thread-safe.
 */
public final class ConfigurationRelay {

    private final EntryReducer reducer;
    private final RelaySettings settings;
    private final PeerHeads peers;
    private final ServiceReads reads;
    private final EntryLog log;
    private final long joinDeadlineNanos;
    private List<RelayEffect> effects = new ArrayList<>();
    private FoldState state = FoldState.EMPTY;
    private FoldState announced = FoldState.EMPTY;
    private FoldState rebuilt;
    private boolean joined;
    private boolean joinPullsSent;
    private String pulledFrom;
    private long pullDeadlineNanos;
    private long nextRebuildNanos;
    private int announceRoundsLeft;
    private long nextAnnounceNanos;

    /**
     * Creates a relay with no content in force.
     *
     * @param reducer folds entries into the content in force
     * @param settings periods, timeouts and limits
     * @param random source of randomness for the choice of peers and for jitter; used by the constructor and by
     *     {@link #on} only
     * @param nowNanos current monotonic time in nanoseconds
     */
    public ConfigurationRelay(EntryReducer reducer, RelaySettings settings, RandomGenerator random, long nowNanos) {
        this.reducer = reducer;
        this.settings = settings;
        this.peers = new PeerHeads(random);
        this.reads = new ServiceReads(settings, random, nowNanos);
        this.log = new EntryLog(settings.maxLogEntries(), settings.maxLogBytes());
        this.joinDeadlineNanos = nowNanos + settings.joinTimeoutNanos();
        this.nextRebuildNanos = nowNanos;
    }

    /**
     * Handles one event.
     *
     * @param event the event
     * @param nowNanos current monotonic time in nanoseconds
     * @return the effects for the embedder to carry out, in order
     */
    public List<RelayEffect> on(RelayEvent event, long nowNanos) {
        if (event instanceof RelayEvent.PeersChanged changed) {
            peers.updatePeers(changed.peers());
            reads.setReader(changed.reader());
        } else if (event instanceof RelayEvent.PeerHead head) {
            recordPeerHead(head.peer(), head.position(), head.digest(), nowNanos);
        } else if (event instanceof RelayEvent.Received received) {
            handleMessage(received, nowNanos);
        } else if (!(event instanceof RelayEvent.Tick)) {
            handleReadResult(event, nowNanos);
        }
        updateJoined(nowNanos);
        announceState(nowNanos);
        announceToPeers(nowNanos);
        pullIfBehind(nowNanos);
        reads.nextRead(state, rebuilt, peers.peerCount() + 1, nowNanos).ifPresent(effects::add);
        List<RelayEffect> result = effects;
        effects = new ArrayList<>();
        return result;
    }

    /**
     * The content in force in this process, as last reported by {@link RelayEffect.InForce}.
     *
     * @return the content, or empty before the first document
     */
    public Optional<Content> inForce() {
        return announced.content();
    }

    /**
     * The number of the last entry that this process accepted or refused, as last announced.
     *
     * @return the position, 0 before the first entry
     */
    public long position() {
        return announced.position();
    }

    private void handleMessage(RelayEvent.Received received, long nowNanos) {
        ConfigurationMessage message = received.message();
        if (message instanceof Head head) {
            recordPeerHead(received.peer(), head.position(), head.digest(), nowNanos);
            if (received.peer().equals(pulledFrom)) {
                pulledFrom = null;
            }
            if (head.position() < announced.position()) {
                send(received.from(), new Head(announced.position(), announced.digest()));
            }
        } else if (message instanceof Pull pull) {
            reply(received.from(), pull.after());
            peers.recordPosition(received.peer(), announced.position());
        } else if (message instanceof Entries batch) {
            pulledFrom = null;
            for (Entry entry : batch.entries()) {
                peers.recordPosition(received.peer(), entry.number());
                applyEntry(entry);
            }
        } else if (message instanceof Snapshot snapshot) {
            pulledFrom = null;
            peers.recordPosition(received.peer(), snapshot.position());
            adoptSnapshot(snapshot);
        }
    }

    private void handleReadResult(RelayEvent event, long nowNanos) {
        if (event instanceof RelayEvent.HeadRead read) {
            reads.recordSuccess();
            if (reads.recordHead(read.head())) {
                raise(new RelayAlarm.ServiceBehind(state.position(), read.head()));
            }
        } else if (event instanceof RelayEvent.EntryRead read) {
            reads.recordSuccess();
            handleEntryRead(read.entry());
        } else if (event instanceof RelayEvent.WatchEnded) {
            reads.recordSuccess();
        } else if (event instanceof RelayEvent.EntryMissing) {
            rebuilt = null;
            reads.recordMissingEntry(nowNanos);
        } else if (event instanceof RelayEvent.ReadFailed failed) {
            reads.recordFailure(failed.retryAfterNanos(), nowNanos);
        }
    }

    private void handleEntryRead(Entry entry) {
        if (rebuilt != null) {
            rebuild(entry);
            return;
        }
        long positionBefore = state.position();
        applyEntry(entry);
        if (entry.whole() && state.position() == positionBefore) {
            reads.markWholeUnusable();
        }
    }

    private void applyEntry(Entry entry) {
        if (!state.canApply(entry)) {
            return;
        }
        FoldState.Transition transition = state.apply(reducer, entry);
        if (!transition.findings().isEmpty()) {
            effects.add(new RelayEffect.Refused(entry.number(), transition.findings()));
        }
        if (transition.state().position() == entry.number()) {
            log.add(entry);
            state = transition.state();
            reads.recordProgress();
        }
    }

    private void adoptSnapshot(Snapshot snapshot) {
        if (snapshot.position() <= state.position() || snapshot.number() < state.number()) {
            return;
        }
        state = new FoldState(snapshot.position(), Optional.of(Content.of(snapshot.number(), snapshot.bytes())));
        log.clear();
        reads.recordProgress();
    }

    private void reply(InetSocketAddress to, long after) {
        List<Entry> entries = log.entriesAfter(after);
        if (after >= announced.position() || announced.content().isEmpty()) {
            send(to, new Head(announced.position(), announced.digest()));
        } else if (entries.isEmpty() || after == 0 && !entries.get(0).whole()) {
            Content content = announced.content().get();
            send(to, new Snapshot(announced.position(), content.number(), content.bytes()));
        } else {
            send(to, new Entries(entries));
        }
    }

    private void recordPeerHead(String peer, long position, long digest, long nowNanos) {
        peers.recordPosition(peer, position);
        boolean comparable = position > 0 && position == announced.position() && state == announced;
        if (comparable && digest != announced.digest() && nowNanos - nextRebuildNanos >= 0) {
            nextRebuildNanos = nowNanos + settings.refetchIntervalNanos();
            raise(new RelayAlarm.DigestMismatch(position, peer, announced.digest(), digest));
            rebuilt = FoldState.EMPTY;
        }
    }

    /**
     * Folds the entries of the service again, separately from the content in force. Different digests at one position
     * mean that a process was given another entry under the same number, or that a fold went wrong. The digests don't
     * show which process is wrong, so both read the entries again, and the result of the service's current entries is
     * used.
     */
    private void rebuild(Entry entry) {
        if (!rebuilt.canApply(entry)) {
            rebuilt = null;
            return;
        }
        FoldState before = rebuilt;
        rebuilt = rebuilt.apply(reducer, entry).state();
        if (rebuilt.position() == before.position()) {
            rebuilt = null;
        } else if (rebuilt.position() >= state.position()) {
            replaceState(rebuilt);
            rebuilt = null;
        }
    }

    private void replaceState(FoldState read) {
        if (read.number() < state.number()) {
            raise(new RelayAlarm.Contradicted(state.number(), read.number()));
            return;
        }
        if (read.position() == state.position() && read.digest() == state.digest()) {
            return;
        }
        raise(new RelayAlarm.Corrected(read.number()));
        state = read;
        log.clear();
    }

    /**
     * Decides whether a new process may put content in force. If it used the first document that it receives from a
     * stale service, it could run an older configuration than the fleet. It therefore waits until it knows the
     * positions of a few peers and has reached the highest of them. The wait ends at the join deadline, which the first
     * process of a fleet always reaches.
     */
    private void updateJoined(long nowNanos) {
        if (joined) {
            return;
        }
        sendJoinPulls();
        int neededPeers = Math.min(settings.joinPeers(), peers.peerCount());
        boolean enoughPeers = neededPeers > 0 && peers.countEstablished() >= neededPeers;
        boolean caughtUp = state.position() > 0 && state.position() >= peers.highestPosition();
        joined = enoughPeers && caughtUp || nowNanos - joinDeadlineNanos >= 0;
    }

    private void sendJoinPulls() {
        if (joinPullsSent || peers.peerCount() == 0) {
            return;
        }
        joinPullsSent = true;
        for (RelayPeer peer : peers.pickBehind(settings.joinPeers(), Long.MAX_VALUE)) {
            send(peer.address(), new Pull(0));
        }
    }

    private void announceState(long nowNanos) {
        if (!joined || state == announced) {
            return;
        }
        boolean changed = state.digest() != announced.digest();
        announced = state;
        if (changed) {
            announced.content().ifPresent(content -> effects.add(new RelayEffect.InForce(content)));
        }
        effects.add(new RelayEffect.PositionAdvanced(announced.position(), announced.digest()));
        announceRoundsLeft = settings.announceRounds();
        nextAnnounceNanos = nowNanos;
    }

    /**
     * Announces the position to random peers, in several rounds. With a single round, one process in fifty receives no
     * announcement and applies the change seconds later than its callers expect.
     */
    private void announceToPeers(long nowNanos) {
        if (announceRoundsLeft == 0 || nowNanos - nextAnnounceNanos < 0) {
            return;
        }
        announceRoundsLeft--;
        nextAnnounceNanos = nowNanos + settings.announcePeriodNanos();
        for (RelayPeer peer : peers.pickBehind(settings.fanOut(), announced.position())) {
            send(peer.address(), new Head(announced.position(), announced.digest()));
        }
    }

    private void pullIfBehind(long nowNanos) {
        if (pulledFrom != null && nowNanos - pullDeadlineNanos < 0) {
            return;
        }
        if (pulledFrom != null) {
            peers.forgetPosition(pulledFrom);
            pulledFrom = null;
        }
        RelayPeer ahead = peers.findAhead(state.position());
        if (ahead != null) {
            pulledFrom = ahead.name();
            pullDeadlineNanos = nowNanos + settings.pullTimeoutNanos();
            send(ahead.address(), new Pull(state.position()));
        }
    }

    private void send(InetSocketAddress to, ConfigurationMessage message) {
        effects.add(new RelayEffect.SendTo(to, message));
    }

    private void raise(RelayAlarm alarm) {
        effects.add(new RelayEffect.AlarmRaised(alarm));
    }
}

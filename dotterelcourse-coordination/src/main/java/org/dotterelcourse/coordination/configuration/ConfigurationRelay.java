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
 * Brings published entries into force in one process, as a state machine. A few readers in each data centre watch the
 * service. Whoever moves on tells a few random peers, and each of them pulls what it lacks: so a body reaches each
 * process about once, in a number of steps that grows with the logarithm of the fleet. Membership's messages carry
 * each member's position, which catches those that no peer told.
 *
 * <p>The position only rises. A service that came back from an old copy, a slow message or a peer that is behind can
 * therefore never take a process back. Not safe for use by several threads.
 */
public final class ConfigurationRelay {

    private final EntryReducer folder;
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
    private boolean joinAsked;
    private String pulledFrom;
    private long pullDeadlineNanos;
    private long nextRefetchNanos;
    private int roundsLeft;
    private long nextRoundNanos;

    /**
     * A relay that has nothing in force yet.
     *
     * @param folder gives the entries their meaning
     * @param settings times and bounds
     * @param random used only while an event is handled
     * @param nowNanos the present time on the monotonic clock
     */
    public ConfigurationRelay(EntryReducer folder, RelaySettings settings, RandomGenerator random, long nowNanos) {
        this.folder = folder;
        this.settings = settings;
        this.peers = new PeerHeads(random);
        this.reads = new ServiceReads(settings, random, nowNanos);
        this.log = new EntryLog(settings.logEntries(), settings.logBytes());
        this.joinDeadlineNanos = nowNanos + settings.joinWaitNanos();
        this.nextRefetchNanos = nowNanos;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos the time on the monotonic clock
     * @return what is to be done, in order
     */
    public List<RelayEffect> on(RelayEvent event, long nowNanos) {
        if (event instanceof RelayEvent.Roster roster) {
            peers.roster(roster.peers());
            reads.reader(roster.reader());
        } else if (event instanceof RelayEvent.PeerHead head) {
            heard(head.peer(), head.position(), head.digest(), nowNanos);
        } else if (event instanceof RelayEvent.Received received) {
            receive(received, nowNanos);
        } else if (!(event instanceof RelayEvent.Tick)) {
            answered(event, nowNanos);
        }
        join(nowNanos);
        announce(nowNanos);
        tellPeers(nowNanos);
        pull(nowNanos);
        reads.next(state, rebuilt, peers.rosterSize() + 1, nowNanos).ifPresent(effects::add);
        List<RelayEffect> done = effects;
        effects = new ArrayList<>();
        return done;
    }

    /**
     * What is in force in this process.
     *
     * @return number and document, empty before the first
     */
    public Optional<Content> inForce() {
        return announced.content();
    }

    /**
     * The last decided entry, refused ones included.
     *
     * @return the position, 0 before the first
     */
    public long position() {
        return announced.position();
    }

    private void receive(RelayEvent.Received received, long nowNanos) {
        ConfigurationMessage message = received.message();
        if (message instanceof Head head) {
            heard(received.peer(), head.position(), head.digest(), nowNanos);
            if (received.peer().equals(pulledFrom)) {
                pulledFrom = null;
            }
            if (head.position() < announced.position()) {
                send(received.from(), new Head(announced.position(), announced.digest()));
            }
        } else if (message instanceof Pull wanted) {
            give(received.from(), wanted.after());
            peers.note(received.peer(), announced.position());
        } else if (message instanceof Entries given) {
            pulledFrom = null;
            for (Entry entry : given.entries()) {
                peers.note(received.peer(), entry.number());
                offer(entry);
            }
        } else if (message instanceof Snapshot snapshot) {
            pulledFrom = null;
            peers.note(received.peer(), snapshot.position());
            adopt(snapshot);
        }
    }

    private void answered(RelayEvent event, long nowNanos) {
        if (event instanceof RelayEvent.HeadRead read) {
            reads.succeeded();
            if (reads.noteHead(read.head())) {
                raise(new RelayAlarm.ServiceBehind(state.position(), read.head()));
            }
        } else if (event instanceof RelayEvent.EntryRead read) {
            reads.succeeded();
            entryRead(read.entry());
        } else if (event instanceof RelayEvent.WatchEnded) {
            reads.succeeded();
        } else if (event instanceof RelayEvent.EntryMissing) {
            rebuilt = null;
            reads.missing(nowNanos);
        } else if (event instanceof RelayEvent.ReadFailed failed) {
            reads.failed(failed.retryAfterNanos(), nowNanos);
        }
    }

    private void entryRead(Entry entry) {
        if (rebuilt != null) {
            rebuild(entry);
            return;
        }
        long before = state.position();
        offer(entry);
        if (entry.whole() && state.position() == before) {
            reads.wholeUseless();
        }
    }

    private void offer(Entry entry) {
        if (!state.takes(entry)) {
            return;
        }
        FoldState.Step step = state.next(folder, entry);
        if (!step.findings().isEmpty()) {
            effects.add(new RelayEffect.Refused(entry.number(), step.findings()));
        }
        if (step.state().position() == entry.number()) {
            log.add(entry);
            state = step.state();
            reads.advanced();
        }
    }

    private void adopt(Snapshot snapshot) {
        if (snapshot.position() <= state.position() || snapshot.number() < state.number()) {
            return;
        }
        state = new FoldState(snapshot.position(), Optional.of(Content.of(snapshot.number(), snapshot.bytes())));
        log.clear();
        reads.advanced();
    }

    private void give(InetSocketAddress to, long after) {
        List<Entry> entries = log.after(after);
        if (after >= announced.position() || announced.content().isEmpty()) {
            send(to, new Head(announced.position(), announced.digest()));
        } else if (entries.isEmpty() || after == 0 && !entries.get(0).whole()) {
            Content content = announced.content().get();
            send(to, new Snapshot(announced.position(), content.number(), content.bytes()));
        } else {
            send(to, new Entries(entries));
        }
    }

    private void heard(String peer, long position, long digest, long nowNanos) {
        peers.note(peer, position);
        boolean comparable = position > 0 && position == announced.position() && state == announced;
        if (comparable && digest != announced.digest() && nowNanos - nextRefetchNanos >= 0) {
            nextRefetchNanos = nowNanos + settings.refetchNanos();
            raise(new RelayAlarm.DigestMismatch(position, peer, announced.digest(), digest));
            rebuilt = FoldState.EMPTY;
        }
    }

    /**
     * Folds the service's entries anew beside what is in force. Two results for one position mean that a process was
     * given another entry under the same number, or that a fold went wrong; which of the two is wrong can't be told
     * from the digests, so both read again and the service's present entries decide.
     */
    private void rebuild(Entry entry) {
        if (!rebuilt.takes(entry)) {
            rebuilt = null;
            return;
        }
        FoldState before = rebuilt;
        rebuilt = rebuilt.next(folder, entry).state();
        if (rebuilt.position() == before.position()) {
            rebuilt = null;
        } else if (rebuilt.position() >= state.position()) {
            replace(rebuilt);
            rebuilt = null;
        }
    }

    private void replace(FoldState read) {
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
     * A new process that took the first document it was given could put an older one in force than the fleet has, when
     * the service is stale. It waits until it has heard of a few peers and has caught up with the highest of them, or
     * until the wait is over, as when it is the first of the fleet.
     */
    private void join(long nowNanos) {
        if (joined) {
            return;
        }
        askToJoin();
        int needed = Math.min(settings.joinPeers(), peers.rosterSize());
        boolean heardPeers = needed > 0 && peers.established() >= needed;
        boolean caughtUp = state.position() > 0 && state.position() >= peers.highest();
        joined = heardPeers && caughtUp || nowNanos - joinDeadlineNanos >= 0;
    }

    private void askToJoin() {
        if (joinAsked || peers.rosterSize() == 0) {
            return;
        }
        joinAsked = true;
        for (RelayPeer peer : peers.pick(settings.joinPeers(), Long.MAX_VALUE)) {
            send(peer.address(), new Pull(0));
        }
    }

    private void announce(long nowNanos) {
        if (!joined || state == announced) {
            return;
        }
        boolean changed = state.digest() != announced.digest();
        announced = state;
        if (changed) {
            announced.content().ifPresent(content -> effects.add(new RelayEffect.InForce(content)));
        }
        effects.add(new RelayEffect.PositionAdvanced(announced.position(), announced.digest()));
        roundsLeft = settings.announceRounds();
        nextRoundNanos = nowNanos;
    }

    /**
     * With one round alone, one process in fifty is told by nobody and would have the change seconds later than its
     * callers expect.
     */
    private void tellPeers(long nowNanos) {
        if (roundsLeft == 0 || nowNanos - nextRoundNanos < 0) {
            return;
        }
        roundsLeft--;
        nextRoundNanos = nowNanos + settings.announcePeriodNanos();
        for (RelayPeer peer : peers.pick(settings.fanOut(), announced.position())) {
            send(peer.address(), new Head(announced.position(), announced.digest()));
        }
    }

    private void pull(long nowNanos) {
        if (pulledFrom != null && nowNanos - pullDeadlineNanos < 0) {
            return;
        }
        if (pulledFrom != null) {
            peers.forget(pulledFrom);
            pulledFrom = null;
        }
        RelayPeer ahead = peers.ahead(state.position());
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

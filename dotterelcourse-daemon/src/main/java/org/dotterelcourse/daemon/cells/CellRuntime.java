package org.dotterelcourse.daemon.cells;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.dotterelcourse.configuration.Worker;
import org.dotterelcourse.coordination.grant.CellClient;
import org.dotterelcourse.coordination.grant.CellOwner;
import org.dotterelcourse.coordination.grant.ClientEffect;
import org.dotterelcourse.coordination.grant.GrantCheck;
import org.dotterelcourse.coordination.grant.GrantMessage;
import org.dotterelcourse.coordination.grant.GrantSettings;
import org.dotterelcourse.coordination.grant.OwnerEffect;
import org.dotterelcourse.daemon.audit.AuditEvent;
import org.dotterelcourse.daemon.audit.AuditTrail;
import org.dotterelcourse.daemon.dispatch.GrantResult;
import org.dotterelcourse.daemon.dispatch.SchedulerFactory;
import org.dotterelcourse.policy.cell.CellRequest;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.RefusalReason;
import org.dotterelcourse.policy.cell.WorkerReport;
import reactor.core.publisher.MonoSink;

/** One cell as this daemon takes part in it: its asks, and the cell's queue while it owns it. For the control loop only. */
final class CellRuntime {
    private static final long UNKNOWN_WORKER_RETRY_NANOS = 500_000_000L;

    /** Nobody waits longer at a counter or a desk; a request that does is told so. */
    private static final long LONGEST_WAIT_NANOS = 600_000_000_000L;

    private final String key;
    private final String self;
    private final GrantSettings settings;
    private final SchedulerFactory schedulers;
    private final RandomGenerator random;
    private final GrantWire wire;
    private final AuditTrail audit;
    private final SchedulerArbiter localArbiter;
    private final CellClient client;
    private final WaitingCallers callers;
    private CellWorkers published;
    private SchedulerArbiter ownedArbiter;
    private CellOwner owned;
    private String ownerName = "";

    CellRuntime(CellWorkers published, long life, CellContext context) {
        this.key = published.key();
        this.self = context.self();
        this.settings = context.settings();
        this.schedulers = context.schedulers();
        this.random = context.random();
        this.wire = context.wire();
        this.audit = context.audit();
        this.published = published;
        this.localArbiter = new SchedulerArbiter(schedulers.create(key));
        this.client = new CellClient(key, life, settings, localArbiter, random);
        this.callers = new WaitingCallers(key);
    }

    CellWorkers published() {
        return published;
    }

    String owner() {
        return ownerName;
    }

    boolean isOwner() {
        return owned != null;
    }

    /** What the cell's scheduler holds, if this daemon owns it; and what this daemon's own asks are. */
    CellStatus status() {
        int waiting = owned == null ? 0 : ownedArbiter.waiting();
        int held = owned == null ? 0 : owned.size();
        return new CellStatus(
                key,
                ownerName,
                client.isLocalMode(),
                client.size(),
                waiting,
                held,
                published.infos().size());
    }

    int outstanding() {
        return client.size();
    }

    void workers(CellWorkers next, List<String> daemons, long nowNanos) {
        published = next;
        localArbiter.workers(LocalShare.of(next.infos(), self, daemons), nowNanos);
        if (owned != null) {
            ownedArbiter.workers(next.infos(), nowNanos);
        }
    }

    long lastGrant() {
        return owned == null ? 0 : ownedArbiter.lastGrant();
    }

    boolean hasGrantUpTo(String worker, long mark) {
        return owned != null && ownedArbiter.hasGrantUpTo(worker, mark);
    }

    void report(WorkerReport report, long nowNanos) {
        if (owned != null) {
            ownedArbiter.report(report, nowNanos);
        }
    }

    void ownerIs(String next, Set<String> askers, long nowNanos) {
        if (next.equals(ownerName)) {
            return;
        }
        audit.add(AuditEvent.Kind.OWNERSHIP, key, "the membership has changed", ownerName, next);
        ownerName = next;
        if (owned != null && !next.equals(self)) {
            owner(owned.resign(next, nowNanos), nowNanos);
            owned = null;
        }
        if (next.equals(self)) {
            takeOver(askers, nowNanos);
        }
        client(client.ownerChanged(next.isEmpty() ? Optional.empty() : Optional.of(next), nowNanos), nowNanos);
    }

    private void takeOver(Set<String> askers, long nowNanos) {
        ownedArbiter = new SchedulerArbiter(schedulers.create(key));
        ownedArbiter.workers(published.infos(), nowNanos);
        owned = CellOwner.builder(key, ownedArbiter, random)
                .settings(settings)
                .expectedClients(askers)
                .takeOver(nowNanos);
    }

    void askerGone(String member, long nowNanos) {
        if (owned != null) {
            owner(owned.onClientDead(member, nowNanos), nowNanos);
        }
    }

    long ask(CellRequest ask, MonoSink<GrantResult> sink, long nowNanos) {
        ClientEffect.Asked asked = client.ask(
                ask.arrivalNanos(), ask.arrivalNanos() + LONGEST_WAIT_NANOS, TermsCodec.encode(ask), nowNanos);
        callers.add(asked.ask(), sink);
        client(asked.effects(), nowNanos);
        return asked.ask();
    }

    /** The caller has gone: its ask is withdrawn, or what it was granted meanwhile goes back. */
    void cancel(long ask, long nowNanos) {
        callers.forget(ask);
        client(client.withdraw(ask, nowNanos), nowNanos);
        client(client.release(ask, new byte[0], nowNanos), nowNanos);
    }

    boolean mayUse(long ask, long nowNanos) {
        GrantCheck check = client.tryUse(ask, nowNanos);
        if (check instanceof GrantCheck.LeaseExpired expired) {
            client(expired.effects(), nowNanos);
        } else if (check instanceof GrantCheck.DeadlinePassed passed) {
            client(passed.effects(), nowNanos);
        }
        return check instanceof GrantCheck.Usable;
    }

    void progress(long ask, int outputTokens, long nowNanos) {
        client(client.progress(ask, outputTokens, nowNanos), nowNanos);
    }

    void release(long ask, Completion completion, long nowNanos) {
        callers.forget(ask);
        client(client.release(ask, TermsCodec.encode(completion), nowNanos), nowNanos);
    }

    void received(String from, GrantMessage message, long nowNanos) {
        if (message instanceof GrantMessage.ToClient toAsker) {
            client(client.onMessage(from, toAsker, nowNanos), nowNanos);
        } else if (message instanceof GrantMessage.ToOwner toOwner) {
            if (owned == null) {
                wire.send(from, CellOwner.notOwner(toOwner, ownerName));
            } else {
                owner(owned.onMessage(from, toOwner, nowNanos), nowNanos);
            }
        }
    }

    void advance(long nowNanos) {
        client(client.advance(nowNanos), nowNanos);
        if (owned != null) {
            owner(owned.advance(nowNanos), nowNanos);
        }
    }

    private void owner(List<OwnerEffect> effects, long nowNanos) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                wire.send(send.to(), send.message());
            } else if (effect instanceof OwnerEffect.Settled settled) {
                String cause = settled.adopted() + " grants adopted, " + settled.missing() + " daemons silent";
                audit.add(AuditEvent.Kind.OWNERSHIP, key, cause, "settling", "granting");
            }
        }
    }

    private void client(List<ClientEffect> effects, long nowNanos) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                wire.send(send.to(), send.message());
            } else if (effect instanceof ClientEffect.Granted granted) {
                granted(granted, nowNanos);
            } else if (effect instanceof ClientEffect.Refused refused) {
                callers.refused(refused.ask(), refusal(refused));
            } else if (effect instanceof ClientEffect.DeadlinePassed passed) {
                callers.refused(passed.ask(), new GrantResult.Refused(RefusalReason.TOO_LATE, 0));
            } else if (effect instanceof ClientEffect.Preempted preempted) {
                callers.preempted(preempted.ask());
            } else if (effect instanceof ClientEffect.LocalMode local) {
                String cause = local.local() ? "no owner answers" : "the owner answers";
                audit.add(AuditEvent.Kind.OWNERSHIP, key, cause, mode(!local.local()), mode(local.local()));
            }
        }
    }

    private void granted(ClientEffect.Granted granted, long nowNanos) {
        Optional<Worker> worker = published.worker(granted.worker());
        if (worker.isPresent()) {
            callers.granted(granted.ask(), worker.get());
            return;
        }
        // The owner's configuration is a number ahead or behind, and names a worker whose address isn't known here.
        client(client.release(granted.ask(), new byte[0], nowNanos), nowNanos);
        callers.refused(granted.ask(), new GrantResult.Refused(RefusalReason.NO_WORKER, UNKNOWN_WORKER_RETRY_NANOS));
    }

    private static GrantResult.Refused refusal(ClientEffect.Refused refused) {
        for (RefusalReason reason : RefusalReason.values()) {
            if (reason.name().equals(refused.reason())) {
                return new GrantResult.Refused(reason, refused.retryAfterNanos());
            }
        }
        return new GrantResult.Refused(RefusalReason.CELL_FULL, refused.retryAfterNanos());
    }

    private static String mode(boolean local) {
        return local ? "local mode" : "owned";
    }
}

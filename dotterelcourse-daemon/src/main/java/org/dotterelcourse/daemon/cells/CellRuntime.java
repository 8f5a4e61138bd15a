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

/**
 * This daemon's role in one cell: it requests grants as a client and, while it owns the cell, also schedules the cell's
 * requests. Not thread-safe; used on the control loop only.
 */
final class CellRuntime {
    private static final long UNKNOWN_WORKER_RETRY_NANOS = 500_000_000L;

    /** Callers at a counter or a desk don't wait longer than this, so a request that does is refused as too late. */
    private static final long MAX_WAIT_NANOS = 600_000_000_000L;

    private final String key;
    private final String self;
    private final GrantSettings settings;
    private final SchedulerFactory schedulers;
    private final RandomGenerator random;
    private final GrantTransport transport;
    private final AuditTrail audit;
    private final SchedulerArbiter localArbiter;
    private final CellClient client;
    private final WaitingCallers callers;
    private CellWorkers published;
    private SchedulerArbiter ownedArbiter;
    private CellOwner ownedCell;
    private String ownerName = "";

    CellRuntime(CellWorkers published, long incarnation, CellContext context) {
        this.key = published.key();
        this.self = context.self();
        this.settings = context.settings();
        this.schedulers = context.schedulers();
        this.random = context.random();
        this.transport = context.transport();
        this.audit = context.audit();
        this.published = published;
        this.localArbiter = new SchedulerArbiter(schedulers.create(key));
        this.client = new CellClient(key, incarnation, settings, localArbiter, random);
        this.callers = new WaitingCallers(key);
    }

    CellWorkers published() {
        return published;
    }

    String owner() {
        return ownerName;
    }

    boolean isOwner() {
        return ownedCell != null;
    }

    /** Returns this daemon's own request counts and, if it owns the cell, those of the cell's scheduler. */
    CellStatus status() {
        int waiting = ownedCell == null ? 0 : ownedArbiter.waiting();
        int tracked = ownedCell == null ? 0 : ownedCell.size();
        return new CellStatus(
                key,
                ownerName,
                client.isLocalMode(),
                client.size(),
                waiting,
                tracked,
                published.infos().size());
    }

    int outstanding() {
        return client.size();
    }

    void updateWorkers(CellWorkers newPublished, List<String> daemons, long nowNanos) {
        published = newPublished;
        localArbiter.updateWorkers(LocalShare.of(newPublished.infos(), self, daemons), nowNanos);
        if (ownedCell != null) {
            ownedArbiter.updateWorkers(newPublished.infos(), nowNanos);
        }
    }

    long lastGrant() {
        return ownedCell == null ? 0 : ownedArbiter.lastGrant();
    }

    boolean hasGrantUpTo(String worker, long grantNumber) {
        return ownedCell != null && ownedArbiter.hasGrantUpTo(worker, grantNumber);
    }

    void recordLoadReport(WorkerReport report, long nowNanos) {
        if (ownedCell != null) {
            ownedArbiter.recordLoadReport(report, nowNanos);
        }
    }

    void updateOwner(String newOwner, Set<String> clients, long nowNanos) {
        if (newOwner.equals(ownerName)) {
            return;
        }
        audit.add(AuditEvent.Kind.OWNERSHIP, key, "the membership has changed", ownerName, newOwner);
        ownerName = newOwner;
        if (ownedCell != null && !newOwner.equals(self)) {
            applyOwnerEffects(ownedCell.resign(newOwner, nowNanos), nowNanos);
            ownedCell = null;
        }
        if (newOwner.equals(self)) {
            takeOver(clients, nowNanos);
        }
        applyClientEffects(
                client.ownerChanged(newOwner.isEmpty() ? Optional.empty() : Optional.of(newOwner), nowNanos), nowNanos);
    }

    private void takeOver(Set<String> clients, long nowNanos) {
        ownedArbiter = new SchedulerArbiter(schedulers.create(key));
        ownedArbiter.updateWorkers(published.infos(), nowNanos);
        ownedCell = CellOwner.builder(key, ownedArbiter, random)
                .settings(settings)
                .expectedClients(clients)
                .takeOver(nowNanos);
    }

    void onClientDead(String member, long nowNanos) {
        if (ownedCell != null) {
            applyOwnerEffects(ownedCell.onClientDead(member, nowNanos), nowNanos);
        }
    }

    long ask(CellRequest request, MonoSink<GrantResult> sink, long nowNanos) {
        ClientEffect.Asked asked = client.ask(
                request.arrivalNanos(), request.arrivalNanos() + MAX_WAIT_NANOS, TermsCodec.encode(request), nowNanos);
        callers.add(asked.ask(), sink);
        applyClientEffects(asked.effects(), nowNanos);
        return asked.ask();
    }

    /** Withdraws the request of a caller that has disconnected, or releases the grant if it was granted in the meantime. */
    void cancel(long ask, long nowNanos) {
        callers.remove(ask);
        applyClientEffects(client.withdraw(ask, nowNanos), nowNanos);
        applyClientEffects(client.release(ask, new byte[0], nowNanos), nowNanos);
    }

    boolean mayUse(long ask, long nowNanos) {
        GrantCheck check = client.tryUse(ask, nowNanos);
        if (check instanceof GrantCheck.LeaseExpired expired) {
            applyClientEffects(expired.effects(), nowNanos);
        } else if (check instanceof GrantCheck.DeadlinePassed passed) {
            applyClientEffects(passed.effects(), nowNanos);
        }
        return check instanceof GrantCheck.Usable;
    }

    void progress(long ask, int outputTokens, long nowNanos) {
        applyClientEffects(client.progress(ask, outputTokens, nowNanos), nowNanos);
    }

    void release(long ask, Completion completion, long nowNanos) {
        callers.remove(ask);
        applyClientEffects(client.release(ask, TermsCodec.encode(completion), nowNanos), nowNanos);
    }

    void onMessage(String from, GrantMessage message, long nowNanos) {
        if (message instanceof GrantMessage.ToClient toClient) {
            applyClientEffects(client.onMessage(from, toClient, nowNanos), nowNanos);
        } else if (message instanceof GrantMessage.ToOwner toOwner) {
            if (ownedCell == null) {
                transport.send(from, CellOwner.notOwner(toOwner, ownerName));
            } else {
                applyOwnerEffects(ownedCell.onMessage(from, toOwner, nowNanos), nowNanos);
            }
        }
    }

    void advance(long nowNanos) {
        applyClientEffects(client.advance(nowNanos), nowNanos);
        if (ownedCell != null) {
            applyOwnerEffects(ownedCell.advance(nowNanos), nowNanos);
        }
    }

    private void applyOwnerEffects(List<OwnerEffect> effects, long nowNanos) {
        for (OwnerEffect effect : effects) {
            if (effect instanceof OwnerEffect.Send send) {
                transport.send(send.to(), send.message());
            } else if (effect instanceof OwnerEffect.Settled settled) {
                String cause = settled.adopted() + " grants adopted, " + settled.missing() + " daemons silent";
                audit.add(AuditEvent.Kind.OWNERSHIP, key, cause, "settling", "granting");
            }
        }
    }

    private void applyClientEffects(List<ClientEffect> effects, long nowNanos) {
        for (ClientEffect effect : effects) {
            if (effect instanceof ClientEffect.Send send) {
                transport.send(send.to(), send.message());
            } else if (effect instanceof ClientEffect.Granted granted) {
                handleGranted(granted, nowNanos);
            } else if (effect instanceof ClientEffect.Refused refused) {
                callers.refuse(refused.ask(), toRefusal(refused));
            } else if (effect instanceof ClientEffect.DeadlinePassed passed) {
                callers.refuse(passed.ask(), new GrantResult.Refused(RefusalReason.TOO_LATE, 0));
            } else if (effect instanceof ClientEffect.Preempted preempted) {
                callers.preempt(preempted.ask());
            } else if (effect instanceof ClientEffect.LocalMode local) {
                String cause = local.local() ? "no owner answers" : "the owner answers";
                audit.add(AuditEvent.Kind.OWNERSHIP, key, cause, modeName(!local.local()), modeName(local.local()));
            }
        }
    }

    private void handleGranted(ClientEffect.Granted granted, long nowNanos) {
        Optional<Worker> worker = published.worker(granted.worker());
        if (worker.isPresent()) {
            callers.grant(granted.ask(), worker.get());
            return;
        }
        // The owner uses another configuration number and granted a worker that is not in the local configuration.
        applyClientEffects(client.release(granted.ask(), new byte[0], nowNanos), nowNanos);
        callers.refuse(granted.ask(), new GrantResult.Refused(RefusalReason.NO_WORKER, UNKNOWN_WORKER_RETRY_NANOS));
    }

    private static GrantResult.Refused toRefusal(ClientEffect.Refused refused) {
        for (RefusalReason reason : RefusalReason.values()) {
            if (reason.name().equals(refused.reason())) {
                return new GrantResult.Refused(reason, refused.retryAfterNanos());
            }
        }
        return new GrantResult.Refused(RefusalReason.CELL_FULL, refused.retryAfterNanos());
    }

    private static String modeName(boolean local) {
        return local ? "local mode" : "owned";
    }
}

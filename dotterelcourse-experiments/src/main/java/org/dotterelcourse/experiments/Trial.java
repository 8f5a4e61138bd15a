package org.dotterelcourse.experiments;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.dotterelcourse.policy.cell.CellEffect;
import org.dotterelcourse.policy.cell.CellScheduler;
import org.dotterelcourse.policy.cell.Completion;
import org.dotterelcourse.policy.cell.WorkerInfo;
import org.dotterelcourse.policy.cell.WorkerReport;
import org.dotterelcourse.policy.retry.Attempt;
import org.dotterelcourse.policy.retry.ConservativeFailureClassifier;
import org.dotterelcourse.policy.retry.RetryBudget;
import org.dotterelcourse.policy.retry.RetryDecision;
import org.dotterelcourse.policy.retry.RetryPolicy;
import org.dotterelcourse.policy.retry.SafeRetryPolicy;

/** One run of a scheduler over fake workers in virtual time. */
final class Trial {
    private static final long TICK_NANOS = 20_000_000L;
    private static final long REPORT_EVERY_NANOS = 1_000_000_000L;
    private static final long FAILING_AFTER_NANOS = 50_000_000L;
    private static final long TIMEOUT_NANOS = 10_000_000_000L;
    private static final int TOKENS_PER_PROGRESS = 8;

    private record Event(long atNanos, long sequence, Runnable action) {}

    final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    final List<Call> calls = new ArrayList<>();
    final Tally tally = new Tally();

    private final CellScheduler scheduler;
    private final RetryBudget retryBudget;
    private final RetryPolicy retryPolicy = new SafeRetryPolicy(new ConservativeFailureClassifier());
    private final long reportLagNanos;
    private final PriorityQueue<Event> events = new PriorityQueue<>((left, right) -> left.atNanos() == right.atNanos()
            ? Long.compare(left.sequence(), right.sequence())
            : Long.compare(left.atNanos(), right.atNanos()));
    private final Map<String, Call> open = new HashMap<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private final Map<Long, FakeWorker> placed = new HashMap<>();
    private double failingFraction;
    private Random failures = new Random();
    private long sequence;
    private long nowNanos;

    Trial(CellScheduler scheduler, RetryBudget retryBudget, int workerCount, long reportLagNanos) {
        this.scheduler = scheduler;
        this.retryBudget = retryBudget;
        this.reportLagNanos = reportLagNanos;
        for (int i = 1; i <= workerCount; i++) {
            workers.put("llm-" + i, new FakeWorker("llm-" + i));
        }
    }

    /** Makes a fraction of all attempts fail before their first token. */
    void failing(double fraction, long seed) {
        failingFraction = fraction;
        failures = new Random(seed);
    }

    void at(long atNanos, Runnable action) {
        sequence++;
        events.add(new Event(atNanos, sequence, action));
    }

    void arrive(Call call) {
        calls.add(call);
        at(call.arrivalNanos, () -> {
            open.put(call.ask.id(), call);
            carryOut(scheduler.offer(call.ask, nowNanos));
        });
    }

    /** Runs until nothing is open, or until the end of time given. */
    void run(long endNanos) {
        List<WorkerInfo> published = new ArrayList<>();
        for (FakeWorker worker : workers.values()) {
            published.add(new WorkerInfo(worker.name, "ruwi-hall", FakeWorker.BATCH_LIMIT, false));
        }
        carryOut(scheduler.updateWorkers(published, 0));
        tick(endNanos);
        report(endNanos);
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
    }

    FakeWorker worker(int number) {
        return workers.get("llm-" + number);
    }

    void crash(FakeWorker worker) {
        int held = 0;
        List<Job> lost = worker.loseAll();
        worker.down = true;
        for (Job job : lost) {
            held += job.tokens - job.resumedFrom;
        }
        tally.heldByCrashed += held;
        for (Job job : lost) {
            fail(worker, job, Attempt.End.BROKEN);
        }
    }

    /** The worker stops without a word; callers of it notice by their timeouts. */
    void fallSilent(FakeWorker worker) {
        worker.silent = true;
        for (Job job : worker.loseAll()) {
            tally.heldByCrashed += job.tokens - job.resumedFrom;
            timeOut(worker, job);
        }
    }

    private void timeOut(FakeWorker worker, Job job) {
        at(nowNanos + TIMEOUT_NANOS, () -> {
            if (!job.cancelled) {
                fail(worker, job, Attempt.End.TIMED_OUT);
            }
        });
    }

    private void tick(long endNanos) {
        if (nowNanos < endNanos || !open.isEmpty() && nowNanos < 4 * endNanos) {
            at(nowNanos + TICK_NANOS, () -> {
                carryOut(scheduler.advance(nowNanos));
                tick(endNanos);
            });
        }
    }

    private void report(long endNanos) {
        for (FakeWorker worker : workers.values()) {
            if (!worker.down && !worker.silent) {
                WorkerReport report = new WorkerReport(worker.name, nowNanos, worker.running(), worker.waiting.size());
                at(nowNanos + reportLagNanos, () -> carryOut(scheduler.recordLoadReport(report, nowNanos)));
            }
        }
        if (nowNanos < endNanos) {
            at(nowNanos + REPORT_EVERY_NANOS, () -> report(endNanos));
        }
    }

    private void carryOut(List<CellEffect> effects) {
        for (CellEffect effect : effects) {
            if (effect instanceof CellEffect.Granted granted) {
                send(open.get(granted.requestId()), granted);
            } else if (effect instanceof CellEffect.Refused refused) {
                refuse(open.remove(refused.requestId()));
            } else if (effect instanceof CellEffect.Preempted preempted) {
                preempt(preempted);
            }
        }
    }

    private void send(Call call, CellEffect.Granted granted) {
        FakeWorker worker = workers.get(granted.worker());
        Job job = new Job(call, granted.grant(), nowNanos);
        call.attempts++;
        jobs.put(job.grant, job);
        placed.put(job.grant, worker);
        if (worker.down) {
            at(nowNanos, () -> fail(worker, job, Attempt.End.NO_CONNECTION));
            return;
        }
        if (worker.silent) {
            timeOut(worker, job);
            return;
        }
        if (failures.nextDouble() < failingFraction) {
            at(nowNanos + FAILING_AFTER_NANOS, () -> fail(worker, job, Attempt.End.BROKEN));
            return;
        }
        worker.waiting.add(job);
        admit(worker);
    }

    private void refuse(Call call) {
        call.state = Call.State.REFUSED;
        if (call.received > 0) {
            call.state = Call.State.FAILED;
            tally.wasted += call.received;
        }
    }

    private void preempt(CellEffect.Preempted preempted) {
        Job job = jobs.remove(preempted.grant());
        FakeWorker worker = placed.remove(preempted.grant());
        job.cancelled = true;
        worker.remove(job);
        tally.preemptions++;
        boolean nothingSeen = job.call.received == 0;
        Attempt attempt = new Attempt(worker.name, Attempt.End.PREEMPTED, true, job.call.received, nothingSeen);
        at(nowNanos, () -> again(job.call, attempt));
    }

    private void admit(FakeWorker worker) {
        while (worker.hasRoom() && !worker.waiting.isEmpty()) {
            worker.prefilling.add(worker.waiting.remove());
        }
        prefill(worker);
    }

    private void prefill(FakeWorker worker) {
        if (worker.isReading || worker.prefilling.isEmpty()) {
            return;
        }
        worker.isReading = true;
        Job job = worker.prefilling.peek();
        long life = worker.life;
        if (job.prefillNanos < 0) {
            job.prefillNanos = worker.prefillNanos(job);
            tally.readAgain += job.call.attempts > 1 ? job.call.ask.inputTokens() + job.resumedFrom : 0;
        }
        long chunk = Math.min(job.prefillNanos, FakeWorker.CHUNK_NANOS);
        at(nowNanos + chunk, () -> {
            if (worker.life != life) {
                return;
            }
            worker.isReading = false;
            job.prefillNanos -= chunk;
            if (!job.cancelled && job.prefillNanos <= 0) {
                worker.prefilling.remove(job);
                worker.decoding.add(job);
            }
            prefill(worker);
            step(worker);
        });
    }

    private void step(FakeWorker worker) {
        if (worker.isStepping || worker.decoding.isEmpty()) {
            return;
        }
        worker.isStepping = true;
        long life = worker.life;
        at(nowNanos + worker.stepNanos(), () -> {
            if (worker.life != life) {
                return;
            }
            worker.isStepping = false;
            for (Job job : List.copyOf(worker.decoding)) {
                if (!job.cancelled) {
                    token(worker, job);
                }
            }
            admit(worker);
            step(worker);
        });
    }

    private void token(FakeWorker worker, Job job) {
        job.tokens++;
        Call call = job.call;
        tally.computed(call.ask.terms().tier(), nowNanos);
        call.received = job.tokens;
        call.lastTokenNanos = nowNanos;
        call.firstTokenNanos = call.firstTokenNanos < 0 ? nowNanos : call.firstTokenNanos;
        boolean isFirst = job.firstTokenNanos < 0;
        job.firstTokenNanos = isFirst ? nowNanos : job.firstTokenNanos;
        if (job.tokens >= call.totalTokens) {
            answered(worker, job);
        } else if (isFirst || job.tokens % TOKENS_PER_PROGRESS == 0) {
            carryOut(scheduler.progress(job.grant, job.tokens, nowNanos));
        }
    }

    private void answered(FakeWorker worker, Job job) {
        worker.remove(job);
        job.call.state = Call.State.ANSWERED;
        boolean useless = job.call.ask.terms().lateIsUseless() && !job.call.attained();
        tally.wasted += useless ? job.call.totalTokens : 0;
        retryBudget.recordSuccess();
        open.remove(job.call.ask.id());
        release(job, Completion.End.ANSWERED);
    }

    private void fail(FakeWorker worker, Job job, Attempt.End end) {
        boolean noBytes = end == Attempt.End.NO_CONNECTION;
        boolean nothingSeen = job.call.received == 0;
        release(job, noBytes ? Completion.End.UNREACHABLE : Completion.End.FAILED);
        again(job.call, new Attempt(worker.name, end, !noBytes, job.call.received, nothingSeen));
    }

    private void release(Job job, Completion.End end) {
        jobs.remove(job.grant);
        placed.remove(job.grant);
        long first = job.firstTokenNanos < 0 ? -1 : job.firstTokenNanos - job.sentNanos;
        Completion completion = new Completion(end, first, nowNanos - job.sentNanos, job.tokens - job.resumedFrom);
        carryOut(scheduler.release(job.grant, completion, nowNanos));
    }

    private void again(Call call, Attempt attempt) {
        RetryDecision decision = retryPolicy.decide(call.ask, attempt, true, retryBudget, nowNanos);
        if (decision instanceof RetryDecision.GiveUp) {
            call.state = Call.State.FAILED;
            tally.wasted += call.received;
            open.remove(call.ask.id());
            return;
        }
        tally.retries += attempt.end() == Attempt.End.PREEMPTED ? 0 : 1;
        call.ask = decision instanceof RetryDecision.Resume resume
                ? resume.request()
                : ((RetryDecision.Restart) decision).request();
        carryOut(scheduler.offer(call.ask, nowNanos));
    }
}

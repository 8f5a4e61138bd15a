package org.dotterelcourse.experiments;

/** A load pattern or fault of the experiments. All last {@value #SECONDS} seconds. */
enum Pattern {
    CALM("six tenths of the capacity, nothing wrong") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.6, 0, SECONDS);
        }
    },
    LOW_BURST("a burst of summaries, from 30 s to 90 s, to twice the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.6, 0, SECONDS);
            load.one(Workload.CLASSES.get(3).times(1.4 / 0.35), 30, 90, null);
        }
    },
    RUSH_ON_FULL("the workers are full of summaries when eligibility checks come, from 40 s on, half the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.one(Workload.CLASSES.get(3).times(1.2 / 0.35), 0, SECONDS, null);
            load.one(Workload.CLASSES.get(0).times(0.5 / 0.2), 40, SECONDS, null);
        }
    },
    TELLER_RUSH("a rush of eligibility checks, from 30 s to 90 s, to one and a half times the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.6, 0, SECONDS);
            load.one(Workload.CLASSES.get(0).times(0.9 / 0.2), 30, 90, null);
        }
    },
    HOT_CUSTOMER("one customer sends coupon questions, from 30 s to 90 s, to twice the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.6, 0, SECONDS);
            load.one(Workload.CLASSES.get(1).times(1.4 / 0.2), 30, 90, HOT);
        }
    },
    HOT_PREFIX("six tenths of all prompts begin alike, and all are twice as long, at 0.9 of the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.hotPrefix(0.6).longPrompts(2).all(0.9, 0, SECONDS);
        }
    },
    SLOW_WORKER("from 30 s on one worker is five times slower and one twice, at 0.75 of the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.75, 0, SECONDS);
            trial.at(30 * Workload.SECOND, () -> {
                trial.worker(1).slowness = 5;
                trial.worker(2).slowness = 2;
            });
        }
    },
    LONG_AMONG_SHORT("one customer's drafts are ten times as long, at 0.95 of the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.6, 0, SECONDS);
            ClassLoad drafts = Workload.CLASSES.get(2);
            double perSecond = 0.35 * Workload.CAPACITY / LONG_TOKENS;
            load.one(new ClassLoad(drafts.terms(), perSecond, LONG_TOKENS, 0.2, 1_500, 0), 0, SECONDS, HOT);
        }
    },
    OVERLOAD("twice the capacity throughout") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(2, 0, SECONDS);
        }
    },
    CRASH("one worker crashes at 40 s and comes back at 80 s, at 0.75 of the capacity") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.75, 0, SECONDS);
            trial.at(40 * Workload.SECOND, () -> trial.crash(trial.worker(1)));
            trial.at(80 * Workload.SECOND, () -> trial.worker(1).down = false);
        }
    },
    SILENCE("one worker falls silent at 40 s, its connections time out after 10 s, and it is back at 80 s, at 0.75") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.75, 0, SECONDS);
            trial.at(40 * Workload.SECOND, () -> trial.fallSilent(trial.worker(1)));
            trial.at(80 * Workload.SECOND, () -> trial.worker(1).silent = false);
        }
    },
    LATE_REPORTS("reports are five seconds late; others use half of four workers, for 15 s in 30 s, at 0.7") {
        @Override
        void prepare(Trial trial, Workload load) {
            load.all(0.7, 0, SECONDS);
            for (int start = 15; start < SECONDS; start += 30) {
                others(trial, start, FakeWorker.BATCH_LIMIT / 2);
                others(trial, start + 15, 0);
            }
        }

        @Override
        long reportLagNanos() {
            return 5 * Workload.SECOND;
        }
    };

    /** The customer that is hot, or sends long jobs. */
    static final String HOT = "customer-9";

    static final int SECONDS = 120;
    private static final int LONG_TOKENS = 1_400;
    private static final int WORKERS_SHARED = 4;

    private final String meaning;

    Pattern(String meaning) {
        this.meaning = meaning;
    }

    String meaning() {
        return meaning;
    }

    abstract void prepare(Trial trial, Workload load);

    long reportLagNanos() {
        return Workload.SECOND;
    }

    private static void others(Trial trial, int atSeconds, int requests) {
        trial.at(atSeconds * Workload.SECOND, () -> {
            for (int i = 1; i <= WORKERS_SHARED; i++) {
                trial.worker(i).foreign = requests;
            }
        });
    }
}

/* State shared by the files of the model. */
#ifndef TESTS_JOBS_MODEL_STATE_H
#define TESTS_JOBS_MODEL_STATE_H

#include <glib.h>

#include "backend_model.h"
#include "model.h"

enum {
    BACKENDS = 4,
    JOBS = 5,
    SCHEDULE_MS = 33000,
    /* Faults end here; what is left has to finish by the end. */
    FAULTS_END_MS = 10000,
    LEADERSHIP_MS = 3000,
    LEASE_MAX_MS = 6000,
    STOP_MS = 300,
    CALL_TIMEOUT_MS = 700,
    POOL_CORES_MILLI = 8000,
};

struct sim;

/** struct holder - a process with the duty, maybe without knowing its end */
struct leader {
    struct sim *sim;
    struct scheduler *sched;
    int64_t token;
    int64_t valid_until_ms;
    bool cut_from_store;
    bool cut_from[BACKENDS];
    bool storing;
    bool killed;
};

struct stored_job {
    char id[JOB_ID_CHARS + 1];
    char *value;
    char *progress;
    int64_t revision;
    bool cancelled;
    int64_t cancel_stored_ms;
};

enum message_kind {
    MESSAGE_START,
    MESSAGE_STOP,
    MESSAGE_REPORT_REQUEST,
    MESSAGE_REPORT_WAIT_END,
    MESSAGE_ANSWER,
    MESSAGE_COMMIT,
};

struct message {
    int64_t at_ms;
    uint64_t sequence;
    enum message_kind kind;
    struct leader *leader;
    int backend;
    uint64_t handle;
    char *task;
    uint32_t number;
    int64_t until_ms;
    int64_t acked_completion;
    int64_t token;
    bool answer_lost;
    enum start_answer answer;
    int64_t clock_ms;
    enum message_kind answered_kind;
    bool acked;
    struct store_batch *batch;
    GPtrArray *values;
};

struct sim {
    GRand *random;
    enum model_mutation mutation;
    int64_t now_ms;
    uint64_t next_sequence;
    GSequence *messages;
    struct model_backend backends[BACKENDS];
    GHashTable *registered;
    GHashTable *done_acked;
    struct stored_job jobs[JOBS];
    GPtrArray *leaders;
    struct leader *current;
    int64_t next_token;
    uint32_t term;
    struct fleet_config *config;
    struct model_result result;
};

/* model.c */
bool
chance(struct sim *sim, double probability);
bool
faults_active(const struct sim *sim);
void
record_violation(struct sim *sim, const char *what);
struct message *
send_message(struct sim *sim, enum message_kind kind, struct leader *leader,
             int64_t delay_ms);
int64_t
network_ms(struct sim *sim);
void
send_command(struct sim *sim, struct leader *leader, struct message command);

/* model_leader.c */
struct stored_job *
find_stored_job(struct sim *sim, const char *id);
void
flush(struct leader *leader);
int64_t
sim_unix(void *ctx);
void
take_over(struct sim *sim);

/* model_deliver.c */
void
deliver(struct sim *sim, struct message *message);

#endif

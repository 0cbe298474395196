/* State behind include/egretd/engine.h, shared by egretd/engine*.c. */
#ifndef EGRETD_ENGINE_STATE_H
#define EGRETD_ENGINE_STATE_H

#include "egretd/attempts.h"
#include "egretd/claims.h"
#include "egretd/engine.h"
#include "egretd/forwards.h"

enum {
    /* Added to a lease for the round trip to another gateway. */
    FORWARD_GRACE_MS = 2000,
};

struct engine {
    struct engine_options options;
    char *incarnation;
    struct dispatch *dispatch;
    struct attempts *attempts;
    struct forwards *forwards;
    struct claims *claims;
    /* By task number. */
    GHashTable *requests;
    GHashTable *task_by_attempt;
    uint64_t next_task;
    guint wake_source;
    int64_t wake_at_ms;
    bool running_actions;
    bool draining;
};

/* engine.c */
int64_t
engine_now_ms(const struct engine *engine);
struct request *
engine_find_request(struct engine *engine, uint64_t task);
void
engine_finish(struct engine *engine, struct request *request,
              const struct answer *answer);
void
engine_refuse(struct engine *engine, struct request *request,
              enum reason reason, int64_t retry_after_ms);
void
engine_run_request(struct engine *engine, struct request *request);

/* engine_claims.c */
void
engine_create_claims(struct engine *engine);
bool
engine_needs_claim(const struct request *request);

/* engine_events.c */
void
engine_create_attempts(struct engine *engine);
void
engine_create_forwards(struct engine *engine);
void
engine_forward_ended(struct engine *engine, uint64_t task,
                     enum attempt_result result, struct answer *answer);

#endif

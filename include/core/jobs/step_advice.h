/* Placement advice: which backend servers the platform's policy allows to run
 * a step. */
#ifndef CORE_JOBS_STEP_ADVICE_H
#define CORE_JOBS_STEP_ADVICE_H

#include <stdbool.h>
#include <stdint.h>

struct step_advice;

/** enum advice_status - advice on one backend server */
enum advice_status {
    ADVICE_NOT_REQUESTED,
    ADVICE_REFUSED,
    ADVICE_EXPIRED,
    ADVICE_GRANTED,
};

struct step_advice *
step_advice_create(void);
void
step_advice_destroy(struct step_advice *advice);

/**
 * step_advice_refuse() - record that backend server @id may not run the step.
 */
void
step_advice_refuse(struct step_advice *advice, const char *id,
                   int64_t incarnation_start_ms);

/**
 * step_advice_grant() - record that @id may run it with @ticket until
 * @until_ms.
 */
void
step_advice_grant(struct step_advice *advice, const char *id,
                  int64_t incarnation_start_ms, const char *ticket,
                  int64_t until_ms);

/** step_advice_forget() - drop the advice on @id, which was wrong. */
void
step_advice_forget(struct step_advice *advice, const char *id);

/**
 * step_advice_status() - advice on the incarnation of @id that started at
 * @incarnation_start_ms; @advice may be NULL.
 */
enum advice_status
step_advice_status(const struct step_advice *advice, const char *id,
                   int64_t incarnation_start_ms, int64_t now_ms);

/** step_advice_ticket() - ticket for @id, or NULL. */
const char *
step_advice_ticket(const struct step_advice *advice, const char *id,
                   int64_t now_ms);

#endif

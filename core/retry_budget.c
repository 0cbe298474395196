#include "core/retry_budget.h"

#include <glib.h>

enum {
    MILLI_PER_TOKEN = 1000,
    /* One retry per five successes. */
    EARNED_PER_SUCCESS_MILLI = 200,
    /* One retry per second even without successes. */
    REFILL_MILLI_PER_MS = 1,
    TOKENS_MAX_MILLI = 32 * MILLI_PER_TOKEN,
};

void
retry_budget_init(struct retry_budget *budget, int64_t now_ms)
{
    budget->tokens_milli = TOKENS_MAX_MILLI;
    budget->refilled_ms = now_ms;
}

void
retry_budget_earn(struct retry_budget *budget)
{
    budget->tokens_milli =
        MIN(budget->tokens_milli + EARNED_PER_SUCCESS_MILLI, TOKENS_MAX_MILLI);
}

bool
retry_budget_spend(struct retry_budget *budget, int64_t now_ms)
{
    int64_t elapsed_ms = MAX(now_ms - budget->refilled_ms, 0);
    budget->refilled_ms = now_ms;
    budget->tokens_milli =
        MIN(budget->tokens_milli + elapsed_ms * REFILL_MILLI_PER_MS,
            TOKENS_MAX_MILLI);
    if (budget->tokens_milli < MILLI_PER_TOKEN) {
        return false;
    }
    budget->tokens_milli -= MILLI_PER_TOKEN;
    return true;
}

/* Limits retries to a fraction of the successes. */
#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** struct retry_budget - token bucket; successes add tokens, and so,
 * slowly, does time */
struct retry_budget {
    int64_t tokens_milli;
    int64_t refilled_ms;
};

/** retry_budget_init() - start with a full bucket. */
void
retry_budget_init(struct retry_budget *budget, int64_t now_ms);

/** retry_budget_earn() - a task succeeded. */
void
retry_budget_earn(struct retry_budget *budget);

/** retry_budget_spend() - take a token for one retry; false when there is
 * none. */
bool
retry_budget_spend(struct retry_budget *budget, int64_t now_ms);

#endif

/* The duty to schedule: who holds it, and for how long that is certain. */
#ifndef EGRETJOBD_DUTY_H
#define EGRETJOBD_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "egretjobd/node.h"

struct duty *
duty_create(struct node *node);
void
duty_destroy(struct duty *duty);

/** duty_held() - whether this process holds the duty, valid or not. */
bool
duty_held(const struct duty *duty);

/** duty_valid() - whether no other process can hold it at this moment. */
bool
duty_valid(const struct duty *duty);

/** duty_troubled() - whether renewals have begun to fail. */
bool
duty_troubled(const struct duty *duty);

/** duty_token() - fencing token: revision of the store that won the duty. */
int64_t
duty_token(const struct duty *duty);

/** duty_inherited_lease_ms() - longest lease that the holder before may have
 * left open. */
int64_t
duty_inherited_lease_ms(const struct duty *duty);

/** duty_holder() - peer address of the process that holds it, or NULL. */
const char *
duty_holder(const struct duty *duty);

/** duty_lose() - another holder was met: stop at once. */
void
duty_lose(struct duty *duty, const char *why);

/** duty_release() - hand the duty over before leaving. */
void
duty_release(struct duty *duty);

#endif

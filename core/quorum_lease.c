#include "core/quorum_lease.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/** struct voter - a registered incarnation and its last support */
struct voter {
    char *incarnation;
    int64_t asked_ms;
};

struct quorum_lease {
    char *self;
    int64_t support_ms;
    struct voter *voters;
    size_t n_voters;
    int64_t renewed_ms;
    bool fenced;
};

struct quorum_lease *
quorum_lease_create(const char *self, int64_t support_ms)
{
    struct quorum_lease *lease = g_new0(struct quorum_lease, 1);
    lease->self = g_strdup(self);
    lease->support_ms = support_ms;
    lease->renewed_ms = INT64_MIN;
    return lease;
}

static void
free_voters(struct voter *voters, size_t n_voters)
{
    for (size_t i = 0; i < n_voters; i++) {
        g_free(voters[i].incarnation);
    }
    g_free(voters);
}

void
quorum_lease_destroy(struct quorum_lease *lease)
{
    if (lease == NULL) {
        return;
    }
    free_voters(lease->voters, lease->n_voters);
    g_free(lease->self);
    g_free(lease);
}

static struct voter *
find_voter(const struct quorum_lease *lease, const char *incarnation)
{
    for (size_t i = 0; i < lease->n_voters; i++) {
        if (strcmp(lease->voters[i].incarnation, incarnation) == 0) {
            return &lease->voters[i];
        }
    }
    return NULL;
}

void
quorum_lease_set_voters(struct quorum_lease *lease, const char *const *voters,
                        size_t n_voters)
{
    struct voter *kept = g_new0(struct voter, n_voters);
    for (size_t i = 0; i < n_voters; i++) {
        const struct voter *known = find_voter(lease, voters[i]);
        kept[i].incarnation = g_strdup(voters[i]);
        kept[i].asked_ms = known == NULL ? INT64_MIN : known->asked_ms;
    }
    free_voters(lease->voters, lease->n_voters);
    lease->voters = kept;
    lease->n_voters = n_voters;
}

void
quorum_lease_renewed(struct quorum_lease *lease, int64_t asked_ms)
{
    lease->renewed_ms = MAX(lease->renewed_ms, asked_ms);
}

void
quorum_lease_granted(struct quorum_lease *lease, const char *peer,
                     int64_t asked_ms)
{
    struct voter *voter = find_voter(lease, peer);
    if (voter != NULL) {
        voter->asked_ms = MAX(voter->asked_ms, asked_ms);
    }
}

void
quorum_lease_fence(struct quorum_lease *lease)
{
    lease->fenced = true;
}

static int
compare_latest_first(const void *a, const void *b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return (left < right) - (left > right);
}

/* Time since which a majority of the voters supports this incarnation. */
static int64_t
majority_asked_ms(const struct quorum_lease *lease)
{
    int64_t *asked_ms = g_new(int64_t, lease->n_voters);
    for (size_t i = 0; i < lease->n_voters; i++) {
        asked_ms[i] = lease->voters[i].asked_ms;
    }
    qsort(asked_ms, lease->n_voters, sizeof(*asked_ms), compare_latest_first);
    int64_t oldest_ms = asked_ms[lease->n_voters / 2];
    g_free(asked_ms);
    return oldest_ms;
}

int64_t
quorum_lease_expires_ms(const struct quorum_lease *lease)
{
    if (lease->fenced || find_voter(lease, lease->self) == NULL) {
        return INT64_MIN;
    }
    int64_t asked_ms = MAX(lease->renewed_ms, majority_asked_ms(lease));
    return asked_ms == INT64_MIN ? INT64_MIN : asked_ms + lease->support_ms;
}

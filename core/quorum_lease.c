/* Computes how long a gateway may start work. */
#include "core/quorum_lease.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/** struct voter - a registered incarnation, and when the last heartbeat was
 * sent that it answered with a grant */
struct voter {
    char *incarnation;
    int64_t sent_ms;
};

struct quorum_lease {
    char *self;
    int64_t duration_ms;
    struct voter *voters;
    size_t n_voters;
    int64_t renewed_ms;
    bool fenced;
};

struct quorum_lease *
quorum_lease_create(const char *self, int64_t duration_ms)
{
    struct quorum_lease *lease = g_new0(struct quorum_lease, 1);
    lease->self = g_strdup(self);
    lease->duration_ms = duration_ms;
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
    struct voter *updated = g_new0(struct voter, n_voters);
    for (size_t i = 0; i < n_voters; i++) {
        const struct voter *previous = find_voter(lease, voters[i]);
        updated[i].incarnation = g_strdup(voters[i]);
        updated[i].sent_ms = previous == NULL ? INT64_MIN : previous->sent_ms;
    }
    free_voters(lease->voters, lease->n_voters);
    lease->voters = updated;
    lease->n_voters = n_voters;
}

void
quorum_lease_renewed(struct quorum_lease *lease, int64_t sent_ms)
{
    lease->renewed_ms = MAX(lease->renewed_ms, sent_ms);
}

void
quorum_lease_granted(struct quorum_lease *lease, const char *peer,
                     int64_t sent_ms)
{
    struct voter *voter = find_voter(lease, peer);
    if (voter != NULL) {
        voter->sent_ms = MAX(voter->sent_ms, sent_ms);
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

/* Latest time such that a majority of the voters granted the lease for a
 * heartbeat sent then or later. */
static int64_t
majority_sent_ms(const struct quorum_lease *lease)
{
    int64_t *sent_ms = g_new(int64_t, lease->n_voters);
    for (size_t i = 0; i < lease->n_voters; i++) {
        sent_ms[i] = lease->voters[i].sent_ms;
    }
    qsort(sent_ms, lease->n_voters, sizeof(*sent_ms), compare_latest_first);
    int64_t oldest_ms = sent_ms[lease->n_voters / 2];
    g_free(sent_ms);
    return oldest_ms;
}

int64_t
quorum_lease_expires_ms(const struct quorum_lease *lease)
{
    if (lease->fenced || find_voter(lease, lease->self) == NULL) {
        return INT64_MIN;
    }
    int64_t sent_ms = MAX(lease->renewed_ms, majority_sent_ms(lease));
    return sent_ms == INT64_MIN ? INT64_MIN : sent_ms + lease->duration_ms;
}

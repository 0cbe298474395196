/* One team's permits on one gateway: how many attempts may run here, and what
 * to write to the store. */
#ifndef CORE_PERMITS_H
#define CORE_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct permits_holding - permits of one gateway incarnation */
struct permits_holding {
    char *incarnation;
    uint32_t held;
};

/**
 * struct permits_record - a team's record as stored
 * @write: unique id of the write; when its result is unknown, reading the
 *         record back shows whether it took effect
 * @generation: configuration generation that last changed @limit
 * @limit: maximum sum of all holdings; exceeded only until the gateways have
 *         returned permits after the limit was lowered
 * @holdings: sorted by incarnation; none of them 0
 */
struct permits_record {
    char *write;
    uint64_t generation;
    uint32_t limit;
    struct permits_holding *holdings;
    size_t n_holdings;
};

struct permits_record *
permits_record_create(void);
struct permits_record *
permits_record_copy(const struct permits_record *record);
void
permits_record_destroy(struct permits_record *record);

/** permits_record_held() - permits of @incarnation, 0 for none. */
uint32_t
permits_record_held(const struct permits_record *record,
                    const char *incarnation);

/** permits_record_set() - change a holding; 0 removes it. */
void
permits_record_set(struct permits_record *record, const char *incarnation,
                   uint32_t held);

/** permits_record_sum() - sum of all holdings. */
uint64_t
permits_record_sum(const struct permits_record *record);

/**
 * struct permits - a team's record as last read by one gateway
 *
 * A lower holding applies here before the write that lowers it is sent; a
 * higher one only when a write or a read confirms it. While the sum of the
 * holdings exceeds the limit, no gateway may start tasks of the team.
 */
struct permits;

struct permits *
permits_create(const char *self);
void
permits_destroy(struct permits *permits);

/** permits_set_limit() - set the limit from configuration @generation. */
void
permits_set_limit(struct permits *permits, uint32_t limit,
                  uint64_t generation);

/** permits_observe() - report the team's use of this gateway; called once per
 * heartbeat. */
void
permits_observe(struct permits *permits, uint32_t running, uint32_t queued);

/** permits_read() - the record was read at @version; NULL and 0 when there is
 * none. Versions that are not newer than the known one are ignored. */
void
permits_read(struct permits *permits, const struct permits_record *record,
             uint64_t version);

/** permits_peer_request() - @peer requests @count permits; the next plan
 * considers it. */
void
permits_peer_request(struct permits *permits, const char *peer,
                     uint32_t count);

/**
 * struct permits_fleet - snapshot of the fleet that a plan is based on
 * @n_live: number of registered gateways
 * @rank: index of this one among them
 * @is_live: whether an incarnation is registered
 * @reclaimable: whether the holding of an incarnation can't be in use any more
 */
struct permits_fleet {
    uint32_t n_live;
    uint32_t rank;
    bool (*is_live)(void *ctx, const char *incarnation);
    bool (*reclaimable)(void *ctx, const char *incarnation);
    void *ctx;
};

/**
 * struct permits_write - a write to send: compare-and-set of @record at
 * @version
 * @record: valid until permits_written()
 */
struct permits_write {
    const struct permits_record *record;
    uint64_t version;
};

/**
 * permits_plan() - plan the next write for the team
 * @running: attempts of the team that hold a permit here now
 *
 * The caller has to apply permits_usable() before it sends the write, since
 * the write may lower the holding.
 *
 * Returns: whether there is a write; never while another is in progress.
 */
bool
permits_plan(struct permits *permits, uint32_t running,
             const struct permits_fleet *fleet, struct permits_write *write);

/** enum permits_write_result - how a write ended */
enum permits_write_result {
    PERMITS_WRITTEN,
    PERMITS_REFUSED,
    PERMITS_NOT_SENT,
    PERMITS_UNKNOWN,
};

/** permits_written() - the write has ended; @version is the new version for
 * PERMITS_WRITTEN. The current record, if known, goes to permits_read(). */
void
permits_written(struct permits *permits, enum permits_write_result result,
                uint64_t version);

/** permits_record_deleted() - the record no longer exists. */
void
permits_record_deleted(struct permits *permits);

/** permits_usable() - attempts of the team that may run here at a time. */
uint32_t
permits_usable(const struct permits *permits);

/** permits_stale() - whether the record has to be read (again). */
bool
permits_stale(const struct permits *permits);

/** permits_refresh() - the record may have changed; read it again. */
void
permits_refresh(struct permits *permits);

/** permits_shortage() - permits that this gateway needs in addition to those
 * it holds, to be requested from peers. */
uint32_t
permits_shortage(const struct permits *permits,
                 const struct permits_fleet *fleet);

/** permits_incarnation_holds() - whether @incarnation holds permits in the
 * last known record. */
bool
permits_incarnation_holds(const struct permits *permits,
                          const char *incarnation);

/** permits_record() - last known record, or NULL. */
const struct permits_record *
permits_record(const struct permits *permits);

/** permits_release() - from now on return all permits that are not in use. */
void
permits_release(struct permits *permits);

#endif

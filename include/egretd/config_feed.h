/* Keeps the newest configuration generation active on a gateway. */
#ifndef EGRETD_CONFIG_FEED_H
#define EGRETD_CONFIG_FEED_H

#include "common/config.h"
#include "common/counters.h"
#include "common/ms_clock.h"
#include "store/store.h"
#include "wire/message.h"

/** struct config_feed_listener - notified when a newer generation is active */
struct config_feed_listener {
    void (*changed)(void *ctx, const struct config *config);
    void *ctx;
};

/**
 * struct config_feed_options - sources of generations
 * @poll_ms: interval of reads in case the watch misses a change
 */
struct config_feed_options {
    struct store *store;
    struct counters *counters;
    struct ms_clock clock;
    int64_t poll_ms;
    struct config_feed_listener listener;
};

struct config_feed;

struct config_feed *
config_feed_create(const struct config_feed_options *options);
void
config_feed_destroy(struct config_feed *feed);

/** config_feed_current() - active configuration, or NULL at start. Valid
 * until the next @changed call has returned. */
const struct config *
config_feed_current(const struct config_feed *feed);

/** config_feed_generation() - number of the active generation, 0 for none. */
uint64_t
config_feed_generation(const struct config_feed *feed);

/** config_feed_refresh() - start a read of the head at the store. */
void
config_feed_refresh(struct config_feed *feed);

/** config_feed_confirmed_ms() - when the last read was sent that found no
 * generation newer than the active one; INT64_MIN for none. */
int64_t
config_feed_confirmed_ms(const struct config_feed *feed);

/** config_feed_id() - id of the apply that wrote the active generation, "" for
 * none. */
const char *
config_feed_id(const struct config_feed *feed);

/** config_feed_offer() - take a peer's generation if it is newer. */
void
config_feed_offer(struct config_feed *feed,
                  const struct message_config *offer);

/**
 * config_feed_make_message() - the active generation as a message to a peer
 * @have_generation: active generation of the peer, 0 for none. Parts that are
 *                   the same in that generation are left out if its head is
 *                   still kept here.
 *
 * Returns: false when no generation is active. The caller clears the message.
 */
bool
config_feed_make_message(const struct config_feed *feed,
                         uint64_t have_generation, struct message *message);

#endif

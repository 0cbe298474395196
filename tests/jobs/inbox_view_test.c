/* What the leader may answer from while jobs that other entry hosts accepted
 * wait to be read. */
#include "core/jobs/inbox_view.h"
#include "../suite.h"

#include <glib.h>

/* Guards against an answer right after a takeover that rests on nothing. */
static void
test_nothing_known_at_first(void)
{
    struct inbox_view view = {0};
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 5000), -1);
    inbox_view_begin(&view, 5000);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 5400), -1);
    inbox_view_loaded(&view, 3000);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 5400), 2400);
    inbox_view_end(&view, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 5400), 400);
}

/* Guards against a listing that counts while jobs that it names are still to
 * be read. */
static void
test_open_reads_delay(void)
{
    struct inbox_view view = {0};
    inbox_view_loaded(&view, 1000);
    inbox_view_begin(&view, 2000);
    uint32_t first = inbox_view_read(&view);
    uint32_t second = inbox_view_read(&view);
    inbox_view_end(&view, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 2500), 1500);
    inbox_view_read_done(&view, first, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 2500), 1500);
    /* Reads of later listings don't keep an earlier one waiting. */
    inbox_view_begin(&view, 3000);
    uint32_t third = inbox_view_read(&view);
    inbox_view_end(&view, true);
    inbox_view_read_done(&view, second, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 3000), 1000);
    inbox_view_read_done(&view, third, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 3000), 1000);
    inbox_view_begin(&view, 4000);
    inbox_view_end(&view, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 4000), 0);
}

/* Guards against a listing that counts although a read of it failed, before or
 * after its end. */
static void
test_failed_read(void)
{
    struct inbox_view view = {0};
    inbox_view_loaded(&view, 1000);
    inbox_view_begin(&view, 2000);
    uint32_t serial = inbox_view_read(&view);
    inbox_view_read_done(&view, serial, false);
    inbox_view_end(&view, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 2000), 1000);
    inbox_view_begin(&view, 3000);
    serial = inbox_view_read(&view);
    inbox_view_end(&view, true);
    inbox_view_read_done(&view, serial, false);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 3000), 2000);
}

/* The listing passes over a message whose read is open, and the read fails
 * while the listing goes on. */
static void
test_earlier_read_fails_meanwhile(void)
{
    struct inbox_view view = {0};
    inbox_view_loaded(&view, 1000);
    inbox_view_begin(&view, 2000);
    uint32_t serial = inbox_view_read(&view);
    inbox_view_end(&view, true);
    inbox_view_begin(&view, 3000);
    inbox_view_read_done(&view, serial, false);
    inbox_view_end(&view, true);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 3000), 2000);
}

static void
test_listing_cut_short(void)
{
    struct inbox_view view = {0};
    inbox_view_loaded(&view, 1000);
    inbox_view_begin(&view, 2000);
    inbox_view_end(&view, false);
    CU_ASSERT_EQUAL(inbox_view_age_ms(&view, 2000), 1000);
}

enum {
    REPLAYS = 2000,
    REPLAY_JOBS = 200,
    REPLAY_MS = 4000,
    PAGE_JOBS = 20,
    READS_MAX = 64,
};

/**
 * struct replay - jobs with ids from 0 on, listed in the order of ids
 * @accepted_ms: when a job was accepted; 0: not yet
 * @known: the leader knows it
 * @reading: serial of the open read of it, 0: none
 */
struct replay {
    struct inbox_view view;
    int64_t accepted_ms[REPLAY_JOBS];
    bool known[REPLAY_JOBS];
    uint32_t reading[REPLAY_JOBS];
    int next;
};

static void
list_page(struct replay *replay, GRand *rand)
{
    for (int n = 0; n < PAGE_JOBS && replay->next < REPLAY_JOBS; n++) {
        int id = replay->next++;
        if (replay->accepted_ms[id] != 0 && !replay->known[id] &&
            replay->reading[id] == 0) {
            replay->reading[id] = inbox_view_read(&replay->view);
        }
    }
    if (replay->next >= REPLAY_JOBS) {
        inbox_view_end(&replay->view, g_rand_int_range(rand, 0, 10) != 0);
    }
}

/* Listings in pages, reads and new jobs in any order: every job that must be
 * known by the view is. */
static void
test_view_is_true_in_any_order(void)
{
    int64_t known_listings = 0;
    for (uint32_t seed = 1; seed <= REPLAYS; seed++) {
        GRand *rand = g_rand_new_with_seed(seed);
        struct replay replay = {.next = REPLAY_JOBS};
        for (int64_t now_ms = 1; now_ms <= REPLAY_MS; now_ms += 5) {
            int id = g_rand_int_range(rand, 0, REPLAY_JOBS);
            int choice = g_rand_int_range(rand, 0, 10);
            if (choice < 2 && replay.accepted_ms[id] == 0) {
                replay.accepted_ms[id] = now_ms;
            }
            else if (choice < 7 && replay.reading[id] != 0) {
                bool found = g_rand_int_range(rand, 0, 8) != 0;
                uint32_t serial = replay.reading[id];
                replay.reading[id] = 0;
                replay.known[id] = replay.known[id] || found;
                inbox_view_read_done(&replay.view, serial, found);
            }
            else if (choice >= 7 && replay.next < REPLAY_JOBS) {
                list_page(&replay, rand);
            }
            else if (choice == 9) {
                replay.next = 0;
                inbox_view_begin(&replay.view, now_ms);
            }
            known_listings += replay.view.known_ms > 0;
            for (int i = 0; i < REPLAY_JOBS; i++) {
                bool must = replay.accepted_ms[i] != 0 &&
                            replay.accepted_ms[i] < replay.view.known_ms;
                if (must && !replay.known[i]) {
                    printf("seed %u, job %d at %ld ms\n", seed, i,
                           (long)now_ms);
                    CU_FAIL_FATAL("a job isn't known");
                }
            }
        }
        g_rand_free(rand);
    }
    CU_ASSERT(known_listings > 0);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"nothing is known at first", test_nothing_known_at_first},
        {"open reads delay", test_open_reads_delay},
        {"failed read", test_failed_read},
        {"earlier read fails meanwhile", test_earlier_read_fails_meanwhile},
        {"listing cut short", test_listing_cut_short},
        {"true in any order", test_view_is_true_in_any_order},
    };
    return suite_main("jobs inbox view", tests, G_N_ELEMENTS(tests));
}

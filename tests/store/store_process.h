/* The stand-in store as a child process of a test. */
#ifndef TESTS_STORE_STORE_PROCESS_H
#define TESTS_STORE_STORE_PROCESS_H

#include <gio/gio.h>
#include <stdint.h>

struct store_process {
    GSubprocess *child;
    char *url;
};

/** store_process_start() - run the program named by $STANDIN_STORE. */
void
store_process_start(struct store_process *process);

/** store_process_stop() - kill the process and wait for its exit. */
void
store_process_stop(struct store_process *process);

/** store_process_faults() - set the faults of the store, as JSON text. */
void
store_process_faults(const struct store_process *process, const char *json);

/** store_process_put() - write a key regardless of its version. */
void
store_process_put(const struct store_process *process, const char *key,
                  const char *value);

/** store_process_get() - value of a key; free with g_free(). */
char *
store_process_get(const struct store_process *process, const char *key);

/** store_process_stat() - member @member of the statistics. */
int64_t
store_process_stat(const struct store_process *process, const char *member);

#endif

/* Configuration of the process tests. */
#ifndef TESTS_PROCESS_PROCESS_CONFIG_H
#define TESTS_PROCESS_PROCESS_CONFIG_H

/* One pool in two data centres, a queue that needs a key and an open one.
 * Every task ends, or its lease expires, within two seconds. */
#define PROCESS_CONFIG(limit)                                                 \
    "{\"service_unit\": \"task\","                                            \
    " \"data_centres\": [{\"name\": \"split-1\", \"region\": \"croatia\"},"   \
    "  {\"name\": \"zadar-1\", \"region\": \"croatia\"}],"                    \
    " \"pools\": [{\"name\": \"work\", \"min_available_hosts\": 1,"           \
    "  \"min_available_per_dc_hosts\": 0, \"host_slots\": 8,"                 \
    "  \"host_connections\": 64, \"min_hosts\": 1, \"max_hosts\": 12}],"      \
    " \"queues\": [{\"name\": \"keyed\", \"pool\": \"work\","                 \
    "  \"start_deadline_ms\": 5000, \"max_run_ms\": 2000,"                    \
    "  \"max_queued\": 500, \"max_body_bytes\": 1048576},"                    \
    "  {\"name\": \"open\", \"pool\": \"work\", \"open_team\": \"public\","   \
    "  \"start_deadline_ms\": 5000, \"max_run_ms\": 2000,"                    \
    "  \"max_queued\": 500, \"max_body_bytes\": 1048576}],"                   \
    " \"teams\": [{\"name\": \"alpha\", \"share_permille\": 500,"             \
    "  \"max_running\": " limit "},"                                          \
    "  {\"name\": \"beta\", \"share_permille\": 300, \"max_running\": 40},"   \
    "  {\"name\": \"public\", \"share_permille\": 200,"                       \
    "  \"max_running\": 40}]}"

#define PROCESS_LAYOUT "work:8"
#define PROCESS_DCS "split-1,zadar-1"

#endif

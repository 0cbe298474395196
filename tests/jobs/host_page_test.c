/* Answers of the host API that are no list of hosts. */
#include <signal.h>
#include <stdio.h>

#include "../suite.h"
#include "net/http_server.h"
#include "platform/hosts_api.h"

enum {
    POLLS_MAX = 800,
    POLL_US = 2500,
    /* Then the host API ends a list that would have no end. */
    SERVED_PAGES_MAX = 10000,
};

#define HOSTS_ADDRESS "127.0.0.1:20941"

/**
 * struct served_list - what the host API answers and what was read of it
 * @answer: body of its answers
 * @pages: requests that it received
 * @lists: lists that were delivered
 * @read: whether the last one was read
 * @n_hosts: hosts in it
 */
struct served_list {
    const char *answer;
    int pages;
    int lists;
    bool read;
    size_t n_hosts;
};

static void
serve(void *ctx, struct http_exchange *exchange)
{
    struct served_list *list = ctx;
    list->pages++;
    http_exchange_reply(exchange, 200,
                        list->pages < SERVED_PAGES_MAX
                            ? list->answer
                            : "{\"machines\":[],\"next_token\":null}");
}

static void
on_list(void *ctx, const struct host_info *hosts, size_t n_hosts)
{
    struct served_list *list = ctx;
    list->lists++;
    list->read = hosts != NULL;
    list->n_hosts = n_hosts;
}

static struct served_list
read_list(const char *answer)
{
    struct served_list list = {.answer = answer};
    struct event_base *base = event_base_new();
    struct http_server *server =
        http_server_create(base, HOSTS_ADDRESS, serve, &list);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    struct hosts_callbacks callbacks = {.on_list = on_list, .ctx = &list};
    struct hosts_api *api =
        hosts_api_create(base, HOSTS_ADDRESS, "leader", &callbacks);
    hosts_api_list(api);
    for (int i = 0; i < POLLS_MAX && list.lists == 0; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        g_usleep(POLL_US);
    }
    CU_ASSERT_EQUAL(list.lists, 1);
    hosts_api_destroy(api);
    event_base_loop(base, EVLOOP_NONBLOCK);
    http_server_destroy(server);
    event_base_free(base);
    return list;
}

static void
test_list_is_read(void)
{
    struct served_list list =
        read_list("{\"machines\":[{\"machine\":\"m0\",\"pool\":\"p\"},"
                  "{\"machine\":7,\"pool\":\"p\"}],\"next_token\":null}");
    CU_ASSERT(list.read);
    CU_ASSERT_EQUAL(list.n_hosts, 1);
    CU_ASSERT_EQUAL(list.pages, 1);
}

/* A list without hosts would mean that every host is gone. */
static void
test_no_list_is_not_an_empty_one(void)
{
    static const char *const answers[] = {
        "{}", "[]", "null", "7", "{\"machines\":null}", "{\"machines\":{}}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        struct served_list list = read_list(answers[i]);
        if (list.read) {
            printf("%s\n", answers[i]);
        }
        CU_ASSERT_FALSE(list.read);
    }
}

/* A token that leads to the page that gave it would be followed for ever. */
static void
test_page_that_leads_to_itself(void)
{
    struct served_list list =
        read_list("{\"machines\":[{\"machine\":\"m0\",\"pool\":\"p\"}],"
                  "\"next_token\":\"a\"}");
    CU_ASSERT_FALSE(list.read);
    CU_ASSERT(list.pages < SERVED_PAGES_MAX);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const struct suite_test tests[] = {
        {"a list is read", test_list_is_read},
        {"no list is not an empty one", test_no_list_is_not_an_empty_one},
        {"a page that leads to itself", test_page_that_leads_to_itself},
    };
    return suite_main("jobs host pages", tests,
                      sizeof(tests) / sizeof(tests[0]));
}

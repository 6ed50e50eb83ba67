/* Queues and services as the operator's configuration declares them. */
#ifndef GG_ROUTES_H
#define GG_ROUTES_H

#include <stddef.h>
#include <stdint.h>

/* One queue: which requests it takes and how its jobs run. */
struct route {
	char *name;
	char *host;
	char *path_prefix;
	char *service;
	uint32_t priority; /* 0 first */
	uint32_t max_attempts;
	double stretch; /* the objective of a job is stretch times its run time, and slack_us */
	int64_t slack_us;
	int64_t timeout_us; /* for clients that name no deadline */
};

struct route_table {
	uint64_t version;
	struct route *routes;
	size_t count;
	size_t header_max_bytes;
	size_t body_max_bytes;
	int64_t header_limit_ms;
	int64_t idle_limit_ms;
};

/* Returns the route for a request: its host matches, and it has the longest prefix of PATH. NULL
 * when there is none. A port in HOST is ignored. */
const struct route *route_find(const struct route_table *table, const char *host, const char *path);

void route_table_free(struct route_table *table);

#endif

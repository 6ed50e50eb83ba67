/* Routing table of the operator's configuration: maps requests to queues and services. */
#ifndef GG_ROUTES_H
#define GG_ROUTES_H

#include <stddef.h>
#include <stdint.h>

/* Route to one queue: the requests that it accepts and the parameters of its jobs. */
struct route {
	char *name;
	char *host;
	char *path_prefix;
	char *service;
	uint32_t priority; /* 0 is the highest */
	uint32_t max_attempts;
	double stretch; /* the objective of a job is stretch times its run time, plus slack_us */
	int64_t slack_us;
	int64_t timeout_us; /* time from arrival to deadline if the client sets no deadline */
};

struct route_table {
	uint64_t version;
	struct route *routes;
	size_t count;
	size_t header_max_bytes;
	size_t body_max_bytes;
	int64_t header_limit_ms; /* time limit for receiving a whole request, not just its header */
	int64_t idle_limit_ms;	 /* time after which an idle connection is closed */
};

/* Returns the route of a request, or NULL when there is none. Of the routes whose host matches
 * HOST, it is the one with the longest path prefix that PATH begins with. A port in HOST is
 * ignored. */
const struct route *route_find(const struct route_table *table, const char *host, const char *path);

void route_table_free(struct route_table *table);

#endif

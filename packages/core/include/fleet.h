/* One entry's view of the backend servers: free resources and the age of this information, learned
 * speed, and the orders that this entry has sent since the last report. */
#ifndef GG_FLEET_H
#define GG_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>

#include "runs.h"
#include "table.h"

struct fleet_server {
	char id[NAME_BYTES];	/* another one for each process of the server */
	char agent[NAME_BYTES]; /* name of its agent, which stays the same */
	char service[NAME_BYTES];
	char zone[NAME_BYTES];
	uint32_t partition;  /* of the servers of its service; see bulkhead.h */
	void *link;	     /* the agent's connection, passed to the callbacks of the dispatcher */
	bool ready;	     /* as reported, and not evacuated */
	bool reported_ready; /* as last reported */
	bool evacuated;	     /* it is in an evacuated zone */
	bool on_trial;	     /* this entry sends it at most one run at a time */
	struct resources total;
	struct resources free; /* as reported, minus the orders sent since the report that can start
				  at once */
	uint32_t waiting_cpu[PRIORITY_LEVELS]; /* cpu of queued runs as reported, plus the orders
						  sent since the report that must wait */
	int64_t run_us;			       /* mean run time at this server; 0 while unknown */
	double reported_speed;		       /* expected work per second, on the agent's scale */
	double speed; /* relative to the median sound server, whose speed is 1 */
	bool speed_known;
	int64_t speed_changed_us; /* when reported_speed last changed */
	uint32_t runs;		  /* number of runs of this entry */
	uint64_t settled_orders;  /* as last reported on this connection; 0 before */
	int64_t reported_us;
	GQueue orders; /* struct fleet_order *, sent but not yet included in a report */
};

struct fleet {
	struct table servers;
	GArray *speeds;	   /* scratch array for computing the median */
	bool speeds_stale; /* a reported speed has changed; see fleet_normalize_speeds */
};

/* An agent's report about its backend server. */
struct fleet_report {
	bool ready;
	bool on_trial;
	struct resources free;
	double speed; /* expected work per second; only ratios between servers are used */
	bool speed_known;
	uint32_t waiting_cpu[PRIORITY_LEVELS];
	int64_t run_us;
	/* Highest order number that `free` and `waiting_cpu` cover. */
	uint64_t last_order_accounted;
	/* No start of the orders before this one may still be carried out unnoticed; 0: one of an
	 * earlier connection may. */
	uint64_t settled_orders;
};

void fleet_init(struct fleet *fleet);
void fleet_free(struct fleet *fleet);

/* Adds a server whose agent is connected over LINK. The server is not ready before its first
 * report. */
struct handle fleet_add(struct fleet *fleet, void *link);

void fleet_remove(struct fleet *fleet, struct handle server);

struct fleet_server *fleet_get(const struct fleet *fleet, struct handle server);

/* Applies REPORT, received at NOW_US, to SERVER. Returns whether the queued jobs should be examined
 * again because SERVER became ready or not ready, or has more free cpu or less waiting cpu. */
bool fleet_apply_report(struct fleet *fleet, struct fleet_server *server,
			const struct fleet_report *report, int64_t now_us);

/* Records whether SERVER is EVACUATED: it gets no runs, whatever its agent reports. Returns whether
 * it has become ready or not ready. */
bool fleet_set_evacuated(struct fleet *fleet, struct fleet_server *server, bool evacuated);

/*
 * Recomputes the speeds relative to the median sound server if reports have changed them. Call
 * before choosing servers and not for each report: with hundreds of servers it costs more than
 * applying a report.
 *
 * Load pattern: most servers stall or are very slow. The median of all servers is then a slow one,
 * so slow servers would count as normal and get most of the tasks.
 */
void fleet_normalize_speeds(struct fleet *fleet);

/* Records that order NUMBER, which starts a run that requires NEED, was sent to SERVER. */
void fleet_record_order(struct fleet_server *server, const struct resources *need,
			uint32_t priority, uint64_t number);

/* Returns whether SERVER counts as capacity. A server on trial does not, as it gets only one run at
 * a time, nor does a very slow one, which gets none unless it is on trial. */
bool fleet_is_useful(const struct fleet_server *server);

/*
 * Returns whether SERVER gets one run at a time, to test whether it has recovered: its agent has
 * put it on trial, or it counts as very slow and, as it gets no runs, has not been measured for a
 * while.
 *
 * Load pattern: an agent starts while its server is slow. The agent knows no better speed of the
 * server and does not put it on trial, and only the entry can compare it with the others.
 */
bool fleet_is_tested(const struct fleet_server *server, int64_t now_us);

/* Returns the cpu of the runs queued at SERVER that have PRIORITY or a higher one and are thus
 * expected to start before a new run of PRIORITY. Pass PRIORITY_LEVELS for the total. */
uint32_t fleet_waiting_cpu_ahead(const struct fleet_server *server, uint32_t priority);

/* Returns the mean run time at SERVER, or a default of 200 ms while it is unknown. */
int64_t fleet_mean_run_us(const struct fleet_server *server);

/* Returns whether SERVER runs tasks of the queues of SERVICE that belong to PARTITION. */
static inline bool fleet_serves(const struct fleet_server *server, const char *service,
				uint32_t partition)
{
	return server->partition == partition && strcmp(server->service, service) == 0;
}

/*
 * Totals over the ready servers of a partition of a service. All but the number of servers and
 * min_total leave out servers that are on trial or very slow.
 *
 * Load pattern: a third of the servers stalls. These servers get few runs and therefore report free
 * resources. If those counted, jobs that cannot be served would wait for them, and the other
 * servers would not be recognized as full.
 */
struct fleet_totals {
	uint32_t servers;
	uint64_t cpu; /* thousandths of a core, like free_cpu */
	uint64_t free_cpu;
	double max_speed;	    /* 0 when there is no useful server */
	double speed_weighted_cpu;  /* cpu weighted by speed */
	double cpu_release_rate;    /* cpu that the servers release per us when full */
	struct resources min_total; /* smallest total of any server, for each resource */
};

struct fleet_totals fleet_compute_totals(const struct fleet *fleet, const char *service,
					 uint32_t partition);

/* Returns whether NEED fits into the total resources of any ready server of PARTITION of SERVICE.
 */
bool fleet_any_server_fits(const struct fleet *fleet, const char *service, uint32_t partition,
			   const struct resources *need);

#endif
